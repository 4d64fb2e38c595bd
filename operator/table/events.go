package table

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"snipeshift.example/lib/timeline"
)

// maxLanes bounds the VMs for which lanes are drawn; more lanes would not fit on a screen.
const maxLanes = 16

const timeLayout = "2006-01-02 15:04:05.000"

// laneEvent is a timeline event with its row of lanes, one character for each VM: * for the VM of
// the event and | for all others.
type laneEvent struct {
	timeline.Event
	lanes string
}

var eventColumns = []Column[laneEvent]{
	{"TIME", func(e laneEvent) string { return time.UnixMilli(int64(e.Stamp.Milli())).UTC().Format(timeLayout) }},
	{"LANES", func(e laneEvent) string { return e.lanes }},
	{"VM", func(e laneEvent) string { return e.VM }},
	{"EVENT", func(e laneEvent) string { return e.Kind.String() }},
	{"DETAIL", func(e laneEvent) string { return detail(e.Event) }},
}

// Events writes merged events as a table with a lane for each VM, which shows how a request moves
// between VMs. It omits the lanes if there are more than maxLanes VMs.
func Events(out io.Writer, events []timeline.Event) error {
	vms := vmsOf(events)
	columns := eventColumns
	if len(vms) > maxLanes {
		columns = slices.Delete(slices.Clone(columns), 1, 2)
	}
	rows := make([]laneEvent, len(events))
	for i, e := range events {
		lanes := []byte(strings.Repeat("|", len(vms)))
		lanes[slices.Index(vms, e.VM)] = '*'
		rows[i] = laneEvent{e, string(lanes)}
	}
	return Write(out, rows, columns)
}

// vmsOf returns the sorted names of the VMs that have events.
func vmsOf(events []timeline.Event) []string {
	seen := map[string]bool{}
	var vms []string
	for _, e := range events {
		if !seen[e.VM] {
			seen[e.VM] = true
			vms = append(vms, e.VM)
		}
	}
	slices.Sort(vms)
	return vms
}

// detail formats the request, workspace, upstream, peer and text of an event.
func detail(e timeline.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, fmt.Sprintf("%s=%s", name, value))
		}
	}
	add("request", string(e.Request))
	add("workspace", string(e.Workspace))
	add("upstream", string(e.Upstream))
	add("peer", e.Peer)
	if e.Text != "" {
		parts = append(parts, e.Text)
	}
	return strings.Join(parts, " ")
}
