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

// maxShown is the maximum number of calls listed in an error message.
const maxShown = 8

// expectCall waits for calls to end and checks their results as the clients saw them:
// expect [-least N|-exactly N|-most N] NAME FIELD=VALUE|VALUE...
func expectCall(s *session, args []string) error {
	f := flag.NewFlagSet("expect", flag.ContinueOnError)
	atLeast := f.Int("least", -1, "")
	exactly := f.Int("exactly", -1, "")
	atMost := f.Int("most", -1, "")
	rest, err := parseFlags(f, args)
	if err != nil {
		return err
	}
	if len(rest) < 2 {
		return usageError("expect [-least N|-exactly N|-most N] NAME FIELD=VALUE...")
	}
	var rs []*world.Result
	for _, name := range strings.Split(rest[0], ",") {
		if sent, ok := s.loads[name]; ok {
			<-sent
		}
		found := s.world.Results(name)
		if len(found) == 0 {
			return usageError("no call " + name)
		}
		rs = append(rs, found...)
	}
	matched := 0
	var mismatches []string
	for _, r := range rs {
		r.Wait()
		diff, err := mismatch(r, rest[1:])
		if err != nil {
			return err
		}
		if diff == "" {
			matched++
			continue
		}
		mismatches = append(mismatches, fmt.Sprintf("%s: %s", diff, r))
	}
	switch {
	case *atLeast >= 0 && matched >= *atLeast, *exactly >= 0 && matched == *exactly, *atMost >= 0 && matched <= *atMost:
		return nil
	case *atLeast < 0 && *exactly < 0 && *atMost < 0 && len(mismatches) == 0:
		return nil
	}
	return fmt.Errorf("%d of %d calls match %v; calls that do not:\n%s", matched, len(rs), rest[1:], strings.Join(mismatches[:min(len(mismatches), maxShown)], "\n"))
}

// mismatch describes the first field of a result that is not as expected; empty if all are.
func mismatch(r *world.Result, wants []string) (string, error) {
	for _, want := range wants {
		field, value, _ := strings.Cut(want, "=")
		if field == "under" {
			d, err := time.ParseDuration(value)
			if err != nil {
				return "", usageError(err.Error())
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
			return fmt.Sprintf("%s is %q, expected %s", field, got, value), nil
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
		return "", usageError("no field " + field)
	}
}
