package script

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

func init() { register("ledger", ledger) }

// ledgerCheck is one assertion over the requests that the emulated upstreams recorded.
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

// Time bounds of the guarantees in docs/PROMISES.md.
const (
	memoryBound   = 15 * time.Second
	documentBound = 8 * time.Second
	usageBound    = 15 * time.Second
)

// ledger runs a check on the requests that upstreams recorded: ledger CHECK ARGUMENT...
func ledger(s *session, args []string) error {
	if len(args) == 0 || ledgerChecks[args[0]] == nil {
		return usageError("ledger time|whole|notrun|once|ours|memory|document|usage|all|empty|ran|quiet|died|orders")
	}
	return ledgerChecks[args[0]](s, args[1:])
}

// checkTime checks that all calls, except those named, ended within their allowed time: ledger time [except NAME...]
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

// checkMemory waits until engines reserve memory only for calls that have not ended: ledger memory [BOUND]
func checkMemory(s *session, args []string) error {
	bound := memoryBound
	if len(args) == 1 {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return usageError(err.Error())
		}
		bound = d
	}
	return s.world.CheckMemory(s.ctx, bound)
}

// checkUsage waits until the usage counters in the store cover what clients received completely, and checks that they never
// exceed what upstreams executed. Up to N requests may be missing, because their VM was lost: ledger usage [N]
func checkUsage(s *session, args []string) error {
	missing := 0
	if len(args) == 1 {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return usageError(err.Error())
		}
		missing = n
	}
	return s.world.CheckUsage(s.ctx, usageBound, int64(missing))
}

// checkAll runs all checks of guarantees but those of usage and of the document's time bound: ledger all [except NAME...]
func checkAll(s *session, args []string) error {
	return errors.Join(checkTime(s, args), s.world.CheckResponses(), s.world.CheckNotRun(), s.world.CheckAtMostOnce(), s.world.CheckRequestIDs(), checkMemory(s, nil), s.world.CheckRevisions())
}

// checkRan checks that upstreams ran a call exactly N, at least N (N-) or at most N (-N) times: ledger ran CALL N|N-|-N
func checkRan(s *session, args []string) error {
	if len(args) != 2 {
		return usageError("ledger ran CALL N|N-|-N")
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
		return usageError(err.Error())
	}
	var upstreams []string
	for _, x := range l.ForCall(r.Call) {
		if x.Ran() {
			upstreams = append(upstreams, x.Upstream+" "+x.Outcome)
		}
	}
	atLeast, atMost := !strings.HasPrefix(args[1], "-"), !strings.HasSuffix(args[1], "-")
	if atLeast && len(upstreams) < n || atMost && len(upstreams) > n {
		return fmt.Errorf("call %s ran %d times, expected %s: %v", args[0], len(upstreams), args[1], upstreams)
	}
	return nil
}

// checkEmpty checks that no request reached an upstream: ledger empty
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

// checkQuiet checks that no request arrived at an upstream after the time of a mark: ledger quiet UPSTREAM MARK
func checkQuiet(s *session, args []string) error {
	if len(args) != 2 {
		return usageError("ledger quiet UPSTREAM MARK")
	}
	since, ok := s.marks[args[1]]
	if !ok {
		return usageError("no mark " + args[1])
	}
	l, err := s.world.Ledger()
	if err != nil {
		return err
	}
	var late []string
	for _, x := range l.Executions {
		if x.Upstream == args[0] && x.Arrived > since {
			late = append(late, fmt.Sprintf("%s %d ms later", x.Request, x.Arrived-since))
		}
	}
	if len(late) > 0 {
		return fmt.Errorf("%s received requests after mark %s: %v", args[0], args[1], late)
	}
	return nil
}

// checkDied checks that at most N upstreams are not running: ledger died N
func checkDied(s *session, args []string) error {
	if len(args) != 1 {
		return usageError("ledger died N")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return usageError(err.Error())
	}
	var exitedNames []string
	for _, name := range s.world.Upstreams() {
		if ended, _, _ := s.world.Exited(name); ended {
			exitedNames = append(exitedNames, name)
		}
	}
	if len(exitedNames) > n {
		return fmt.Errorf("%d upstreams have exited: %v", len(exitedNames), exitedNames)
	}
	return nil
}

// checkOrders checks that no engine obeyed an order with a fencing number lower than an earlier one, and that at least N
// orders were sent: ledger orders [N]
func checkOrders(s *session, args []string) error {
	l, err := s.world.Ledger()
	if err != nil {
		return err
	}
	for _, o := range l.Orders {
		if o.Old && !o.Refused {
			return fmt.Errorf("%s obeyed an order with old fencing number %d: %s=%s", o.Upstream, o.Fence, o.Order, o.Value)
		}
	}
	if len(args) == 1 {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return usageError(err.Error())
		}
		if len(l.Orders) < n {
			return fmt.Errorf("%d orders were sent, expected at least %d", len(l.Orders), n)
		}
	}
	return nil
}
