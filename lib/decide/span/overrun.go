package span

import "snipeshift.example/lib/clock"

const (
	// overrunInterval is the interval at which the pool looks for an upstream that queues while
	// another one is idle.
	overrunInterval clock.Milli = 100
	// overrunMemory is the number of intervals after which their counts are halved, so that the ratio
	// shows the last one or two minutes.
	overrunMemory = 600
)

// overrun counts the intervals in which an upstream queues while another one is idle. Intervals
// without a message or a scan of the queue are not counted.
type overrun struct {
	at            clock.Milli
	uneven, total float64
}

// observeOverrun counts the present interval unless it is counted already.
func (p *Pool) observeOverrun(now clock.Milli) {
	o := &p.overrun
	if now-o.at < overrunInterval {
		return
	}
	o.at = now
	if o.total >= overrunMemory {
		o.total /= 2
		o.uneven /= 2
	}
	o.total++
	if p.queuesBesideIdle(now) {
		o.uneven++
	}
}

// queuesBesideIdle reports whether an upstream queues while another one that accepts requests has
// none, by the records of this pool.
func (p *Pool) queuesBesideIdle(now clock.Milli) bool {
	queues, idle := false, false
	for _, r := range p.packOrder {
		n := len(r.grants) + r.external
		queues = queues || n > max(r.Slots, 1) || r.firstByteOverdue(now)
		idle = idle || n == 0 && r.accepts(now, &Ask{})
	}
	return queues && idle
}

// OverrunIdle returns the share of intervals of 100 ms in which an upstream queued while another one
// that accepts requests was idle.
func (p *Pool) OverrunIdle() float64 { return p.overrun.uneven / max(p.overrun.total, 1) }
