package script

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

func init() { register("ledger", ledger) }

// ledgerCheck is one assertion over what the stand-ins executed.
type ledgerCheck func(s *session, args []string) error

var ledgerChecks = map[string]ledgerCheck{
	"time":   checkTime,
	"whole":  func(s *session, _ []string) error { return s.world.CheckResponses() },
	"notrun": func(s *session, _ []string) error { return s.world.CheckNotRun() },
	"once":   func(s *session, _ []string) error { return s.world.CheckAtMostOnce() },
	"ours":   func(s *session, _ []string) error { return s.world.CheckRequestIDs() },
	"usage":  checkUsage,
	"memory": checkMemory,
	"document": func(s *session, _ []string) error {
		return errors.Join(s.world.CheckDocument(s.ctx, documentBound), s.world.CheckRevisions())
	},
	"all":    checkAll,
	"empty":  checkEmpty,
	"ran":    checkRan,
	"quiet":  checkQuiet,
	"died":   checkDied,
	"orders": checkOrders,
}

// Bounds of the promises, as docs/PROMISES.md states them.
const (
	memoryBound   = 15 * time.Second
	documentBound = 8 * time.Second
	usageBound    = 15 * time.Second
)

func ledger(s *session, args []string) error {
	if len(args) == 0 || ledgerChecks[args[0]] == nil {
		return usage("ledger time|whole|notrun|once|ours|memory|document|usage|all|empty|ran|quiet|died|orders")
	}
	return ledgerChecks[args[0]](s, args[1:])
}

// checkTime: ledger time [except NAME...]
func checkTime(s *session, args []string) error {
	except := map[string]bool{}
	if len(args) > 0 && args[0] == "except" {
		for _, name := range args[1:] {
			for _, r := range s.world.Results(name) {
				except[r.Call.Name] = true
			}
		}
	}
	return s.world.CheckTimeLimits(except)
}

// checkMemory: ledger memory [BOUND]
func checkMemory(s *session, args []string) error {
	bound := memoryBound
	if len(args) == 1 {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return usage(err.Error())
		}
		bound = d
	}
	return s.world.CheckMemory(s.ctx, bound)
}

// checkUsage: ledger usage [N]: but for N requests whose VM died.
func checkUsage(s *session, args []string) error {
	missing := 0
	if len(args) == 1 {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return usage(err.Error())
		}
		missing = n
	}
	return s.world.CheckUsage(s.ctx, usageBound, int64(missing))
}

// checkAll: ledger all [except NAME...]
func checkAll(s *session, args []string) error {
	return errors.Join(checkTime(s, args), s.world.CheckResponses(), s.world.CheckNotRun(), s.world.CheckAtMostOnce(), s.world.CheckRequestIDs(), checkMemory(s, nil), s.world.CheckRevisions())
}

// checkRan: ledger ran CALL N, N- or -N times: exactly, at least, at most.
func checkRan(s *session, args []string) error {
	if len(args) != 2 {
		return usage("ledger ran CALL N|N-|-N")
	}
	r, err := s.world.Result(args[0])
	if err != nil {
		return err
	}
	l, err := s.world.Ledger()
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(strings.Trim(args[1], "-"))
	if err != nil {
		return usage(err.Error())
	}
	var where []string
	for _, x := range l.ForCall(r.Call) {
		if x.Ran() {
			where = append(where, x.Upstream+" "+x.Outcome)
		}
	}
	least, most := !strings.HasPrefix(args[1], "-"), !strings.HasSuffix(args[1], "-")
	if least && len(where) < n || most && len(where) > n {
		return fmt.Errorf("%s ran %d times, not %s: %v", args[0], len(where), args[1], where)
	}
	return nil
}

// checkEmpty: ledger empty: no upstream got anything.
func checkEmpty(s *session, _ []string) error {
	l, err := s.world.Ledger()
	if err != nil {
		return err
	}
	if len(l.Executions) > 0 {
		return fmt.Errorf("%d requests reached upstreams, the first %s", len(l.Executions), l.Executions[0].Text)
	}
	return nil
}

// checkQuiet: ledger quiet UPSTREAM MARK: nothing arrived there after the mark.
func checkQuiet(s *session, args []string) error {
	if len(args) != 2 {
		return usage("ledger quiet UPSTREAM MARK")
	}
	since, ok := s.marks[args[1]]
	if !ok {
		return usage("no mark " + args[1])
	}
	l, err := s.world.Ledger()
	if err != nil {
		return err
	}
	var late []string
	for _, x := range l.Executions {
		if x.Upstream == args[0] && x.Arrived > since {
			late = append(late, fmt.Sprintf("%s %d ms after", x.Request, x.Arrived-since))
		}
	}
	if len(late) > 0 {
		return fmt.Errorf("%s got new work after %s: %v", args[0], args[1], late)
	}
	return nil
}

// checkDied: ledger died N: at most so many upstreams ended without the script ending them.
func checkDied(s *session, args []string) error {
	if len(args) != 1 {
		return usage("ledger died N")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return usage(err.Error())
	}
	var dead []string
	for _, name := range s.world.Upstreams() {
		if ended, _, _ := s.world.Exited(name); ended {
			dead = append(dead, name)
		}
	}
	if len(dead) > n {
		return fmt.Errorf("%d upstreams died: %v", len(dead), dead)
	}
	return nil
}

// checkOrders: ledger orders [N]: no engine obeyed an order with an old fencing
// number; at least N orders were sent.
func checkOrders(s *session, args []string) error {
	l, err := s.world.Ledger()
	if err != nil {
		return err
	}
	for _, o := range l.Orders {
		if o.Old && !o.Refused {
			return fmt.Errorf("%s obeyed an order with old fence %d: %s=%s", o.Upstream, o.Fence, o.Order, o.Value)
		}
	}
	if len(args) == 1 {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return usage(err.Error())
		}
		if len(l.Orders) < n {
			return fmt.Errorf("%d orders were sent, not %d", len(l.Orders), n)
		}
	}
	return nil
}
