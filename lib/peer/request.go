package peer

import (
	"fmt"
	"strconv"
	"strings"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
)

// Origin is the content of a request id: the VM and incarnation that received the request from
// its client, and the latest end of its allowed time.
//
// An owner that finds a request without a grant on an engine decides by its Origin whether the gate of
// the request can still exist. Deadline is by the gate's clock; a comparison must allow for clock skew.
type Origin struct {
	VM          VM
	Incarnation Incarnation
	// Deadline is an instant of the gate's clock; ID rounds it up to whole seconds.
	Deadline clock.Milli
	// Count distinguishes the requests of one incarnation.
	Count uint64
}

const requestIDParts = 4

// ID formats the request id: vm.incarnation.deadline.count, numbers in base 36.
func (o Origin) ID() decide.RequestID {
	s := (o.Deadline + clock.Second - 1) / clock.Second
	return decide.RequestID(fmt.Sprintf("%s.%s.%s.%s", o.VM, strconv.FormatUint(uint64(o.Incarnation), 36),
		strconv.FormatInt(int64(s), 36), strconv.FormatUint(o.Count, 36)))
}

// Gate returns the id of the gate that received the request.
func (o Origin) Gate() decide.GateID { return Gate(o.VM, o.Incarnation) }

// Gate returns the id of a gate: one incarnation of a VM in its role of serving client connections.
func Gate(v VM, i Incarnation) decide.GateID {
	return decide.GateID(string(v) + "." + strconv.FormatUint(uint64(i), 36))
}

// ParseRequest parses a request id; ok is false if id was not made by Origin.ID.
func ParseRequest(id decide.RequestID) (o Origin, ok bool) {
	parts := strings.Split(string(id), ".")
	if len(parts) != requestIDParts {
		return o, false
	}
	i, err1 := strconv.ParseUint(parts[1], 36, 64)
	d, err2 := strconv.ParseInt(parts[2], 36, 64)
	n, err3 := strconv.ParseUint(parts[3], 36, 64)
	if err1 != nil || err2 != nil || err3 != nil || parts[0] == "" {
		return o, false
	}
	return Origin{VM: VM(parts[0]), Incarnation: Incarnation(i), Deadline: clock.Milli(d) * clock.Second, Count: n}, true
}

// NewFault converts an error for transfer in a message; nil stays nil.
func NewFault(e *fault.Error) *Fault {
	if e == nil {
		return nil
	}
	return &Fault{Kind: e.Kind, Ran: e.Ran, Retry: e.Retry, Text: e.Text}
}

// Error converts the fault back to a fault.Error.
func (f *Fault) Error() *fault.Error {
	return &fault.Error{Kind: f.Kind, Ran: f.Ran, Retry: f.Retry, Text: f.Text}
}
