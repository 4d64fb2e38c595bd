package script

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"snipeshift.example/lib/timeline"
	"snipeshift.example/scenarios/world"
)

func init() { register("story", story) }

// expectedEvent is an event that the timeline of a call must contain: VM:KIND or VM:KIND:UPSTREAM.
type expectedEvent struct{ vm, kind, upstream string }

// story waits until the timeline of a call, which the operator command merges from all daemons, contains the given events
// in this order, possibly with others in between: story CALL VM:KIND[:UPSTREAM]...
// The table that the command prints must have the same events as its JSON output, in the same order.
func story(s *session, args []string) error {
	if len(args) < 2 {
		return usageError("story CALL VM:KIND[:UPSTREAM]...")
	}
	expected, err := parseExpected(args[1:])
	if err != nil {
		return err
	}
	r, err := s.world.Result(args[0])
	if err != nil {
		return err
	}
	r.Wait()
	var table string
	// The owner records the end of the call slightly after the client receives it.
	err = world.Await(s.ctx, awaitTimeout, "timeline of call "+args[0], func() (bool, error) {
		text, err := s.world.RunOperator(s.ctx, "timeline", "--request", r.RequestID)
		if err != nil {
			return false, err
		}
		table = text
		events, err := s.events(r.RequestID)
		return err == nil && containsInOrder(events, expected) && tableMatches(events, text), err
	})
	s.ts.Logf("%s", table)
	return err
}

// parseExpected parses the expected events.
func parseExpected(args []string) ([]expectedEvent, error) {
	var ss []expectedEvent
	for _, a := range args {
		parts := strings.Split(a, ":")
		switch len(parts) {
		case 2:
			ss = append(ss, expectedEvent{vm: parts[0], kind: parts[1]})
		case 3:
			ss = append(ss, expectedEvent{vm: parts[0], kind: parts[1], upstream: parts[2]})
		default:
			return nil, usageError(fmt.Sprintf("%q is not VM:KIND or VM:KIND:UPSTREAM", a))
		}
	}
	return ss, nil
}

// events returns the timeline of a request from the JSON output of the operator command.
func (s *session) events(request string) ([]timeline.Event, error) {
	text, err := s.world.RunOperator(s.ctx, "--output", "json", "timeline", "--request", request)
	if err != nil {
		return nil, err
	}
	var events []timeline.Event
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		var e timeline.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		events = append(events, e)
	}
	return events, lines.Err()
}

// containsInOrder reports whether events contains the expected ones in their order.
func containsInOrder(events []timeline.Event, expected []expectedEvent) bool {
	for _, e := range events {
		if len(expected) == 0 {
			return true
		}
		x := expected[0]
		if e.VM == x.vm && e.Kind.String() == x.kind && (x.upstream == "" || string(e.Upstream) == x.upstream) {
			expected = expected[1:]
		}
	}
	return len(expected) == 0
}

// tableMatches reports whether a printed table has the events in their order: a heading, then a line for each event with date,
// time, lanes (a column of characters, one for each VM), VM and kind.
func tableMatches(events []timeline.Event, table string) bool {
	lines := bytes.Split(bytes.TrimSpace([]byte(table)), []byte("\n"))
	if len(lines) != len(events)+1 {
		return false
	}
	for i, e := range events {
		words := bytes.Fields(lines[i+1])
		if len(words) < 5 || string(words[3]) != e.VM || string(words[4]) != e.Kind.String() {
			return false
		}
	}
	return true
}
