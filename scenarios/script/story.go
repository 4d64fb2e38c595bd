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

// scene is one event that a story must have: VM:KIND or VM:KIND:UPSTREAM.
type scene struct{ vm, kind, upstream string }

// story waits until the time line of a call, as the operators' command draws it
// over all daemons, has some events in this order: story CALL VM:KIND[:UPSTREAM]...
// Others may stand between them. The drawing for people must have the same events
// as the JSON lines, in the same order.
func story(s *session, args []string) error {
	if len(args) < 2 {
		return usage("story CALL VM:KIND[:UPSTREAM]...")
	}
	scenes, err := scenesOf(args[1:])
	if err != nil {
		return err
	}
	r, err := s.world.Result(args[0])
	if err != nil {
		return err
	}
	r.Wait()
	var drawn string
	// The owner hears of the end a moment after the caller.
	err = world.Await(s.ctx, awaitLimit, "the story of "+args[0], func() (bool, error) {
		text, err := s.world.RunOperator(s.ctx, "timeline", "--request", r.RequestID)
		if err != nil {
			return false, err
		}
		drawn = text
		events, err := s.events(r.RequestID)
		return err == nil && has(events, scenes) && same(events, text), err
	})
	s.ts.Logf("%s", drawn)
	return err
}

func scenesOf(args []string) ([]scene, error) {
	var ss []scene
	for _, a := range args {
		parts := strings.Split(a, ":")
		switch len(parts) {
		case 2:
			ss = append(ss, scene{vm: parts[0], kind: parts[1]})
		case 3:
			ss = append(ss, scene{vm: parts[0], kind: parts[1], upstream: parts[2]})
		default:
			return nil, usage(fmt.Sprintf("%q is not VM:KIND or VM:KIND:UPSTREAM", a))
		}
	}
	return ss, nil
}

// events reads the JSON lines of a request's time line.
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

// has tells whether the scenes are among the events, in their order.
func has(events []timeline.Event, scenes []scene) bool {
	for _, e := range events {
		if len(scenes) == 0 {
			return true
		}
		x := scenes[0]
		if e.VM == x.vm && e.Kind.String() == x.kind && (x.upstream == "" || string(e.Upstream) == x.upstream) {
			scenes = scenes[1:]
		}
	}
	return len(scenes) == 0
}

// same tells whether a drawing has the events in their order: a heading, then a
// line each with date, time, lanes, VM and kind.
func same(events []timeline.Event, drawn string) bool {
	lines := bytes.Split(bytes.TrimSpace([]byte(drawn)), []byte("\n"))
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
