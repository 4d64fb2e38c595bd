package peer

import (
	"fmt"
	"strconv"
	"strings"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
)

// Origin is what a request id tells about the request: which life of which VM
// took it and when its allowed time ends at the latest.
//
// An owner that finds a request on an engine which no grant explains needs this
// to decide whether its gate can still be there. The instant is of the gate's
// clock; whoever compares it allows for the difference between clocks.
type Origin struct {
	VM          VM
	Incarnation Incarnation
	// Deadline is an instant of the gate's clock, in whole seconds rounded up.
	Deadline clock.Milli
	// Count tells apart requests of one incarnation.
	Count uint64
}

const originParts = 4

// ID formats the request id: vm.incarnation.deadline.count, numbers in base 36.
func (o Origin) ID() decide.RequestID {
	s := (o.Deadline + clock.Second - 1) / clock.Second
	return decide.RequestID(fmt.Sprintf("%s.%s.%s.%s", o.VM, strconv.FormatUint(uint64(o.Incarnation), 36),
		strconv.FormatInt(int64(s), 36), strconv.FormatUint(o.Count, 36)))
}

// Gate is the id of that life of the VM.
func (o Origin) Gate() decide.GateID { return Gate(o.VM, o.Incarnation) }

// Gate is the id of one life of a VM as the holder of callers' connections.
func Gate(v VM, i Incarnation) decide.GateID {
	return decide.GateID(string(v) + "." + strconv.FormatUint(uint64(i), 36))
}

// ParseRequest reads a request id; ok is false for an id of another make.
func ParseRequest(id decide.RequestID) (o Origin, ok bool) {
	ps := strings.Split(string(id), ".")
	if len(ps) != originParts {
		return o, false
	}
	i, err1 := strconv.ParseUint(ps[1], 36, 64)
	d, err2 := strconv.ParseInt(ps[2], 36, 64)
	n, err3 := strconv.ParseUint(ps[3], 36, 64)
	if err1 != nil || err2 != nil || err3 != nil || ps[0] == "" {
		return o, false
	}
	return Origin{VM: VM(ps[0]), Incarnation: Incarnation(i), Deadline: clock.Milli(d) * clock.Second, Count: n}, true
}

// NewFault makes a fault fit for a message; nil stays nil.
func NewFault(e *fault.Error) *Fault {
	if e == nil {
		return nil
	}
	return &Fault{Kind: e.Kind, Ran: e.Ran, Retry: e.Retry, Text: e.Text}
}

// Error is the fault as an error.
func (f *Fault) Error() *fault.Error {
	return &fault.Error{Kind: f.Kind, Ran: f.Ran, Retry: f.Retry, Text: f.Text}
}
