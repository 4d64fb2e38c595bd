package script

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"snipeshift.example/scenarios/world"
)

func init() { register("expect", expectCall) }

// shown is how many calls that did not end as wanted a failure shows.
const shown = 8

// expectCall waits for calls to end and checks what their callers saw:
// expect [-least N|-exactly N|-most N] NAME FIELD=VALUE|VALUE...
func expectCall(s *session, args []string) error {
	f := flag.NewFlagSet("expect", flag.ContinueOnError)
	least := f.Int("least", -1, "")
	exactly := f.Int("exactly", -1, "")
	most := f.Int("most", -1, "")
	rest, err := flags(f, args)
	if err != nil {
		return err
	}
	if len(rest) < 2 {
		return usage("expect [-least N|-exactly N|-most N] NAME FIELD=VALUE...")
	}
	var rs []*world.Result
	for _, name := range strings.Split(rest[0], ",") {
		if sent, ok := s.loads[name]; ok {
			<-sent
		}
		found := s.world.Results(name)
		if len(found) == 0 {
			return usage("no call " + name)
		}
		rs = append(rs, found...)
	}
	matched := 0
	var unmet []string
	for _, r := range rs {
		r.Wait()
		why, err := differs(r, rest[1:])
		if err != nil {
			return err
		}
		if why == "" {
			matched++
			continue
		}
		unmet = append(unmet, fmt.Sprintf("%s: %s", why, r))
	}
	switch {
	case *least >= 0 && matched >= *least, *exactly >= 0 && matched == *exactly, *most >= 0 && matched <= *most:
		return nil
	case *least < 0 && *exactly < 0 && *most < 0 && len(unmet) == 0:
		return nil
	}
	return fmt.Errorf("%d of %d calls match %v\n%s", matched, len(rs), rest[1:], strings.Join(unmet[:min(len(unmet), shown)], "\n"))
}

// differs names the first field that is not as wanted.
func differs(r *world.Result, wants []string) (string, error) {
	for _, want := range wants {
		field, value, _ := strings.Cut(want, "=")
		if field == "under" {
			d, err := time.ParseDuration(value)
			if err != nil {
				return "", usage(err.Error())
			}
			if r.Elapsed > d {
				return want, nil
			}
			continue
		}
		got, err := fieldOf(r, field)
		if err != nil {
			return "", err
		}
		if !slices.Contains(strings.Split(value, "|"), got) {
			return fmt.Sprintf("%s is %q, not %s", field, got, value), nil
		}
	}
	return "", nil
}

func fieldOf(r *world.Result, field string) (string, error) {
	switch field {
	case "end":
		return string(r.Outcome), nil
	case "status":
		return fmt.Sprint(r.Status), nil
	case "error":
		return r.Error, nil
	case "ran":
		return r.Ran, nil
	case "retry":
		return fmt.Sprint(r.RetryAfter != ""), nil
	case "replayed":
		return fmt.Sprint(r.Replayed), nil
	default:
		return "", usage("no field " + field)
	}
}
