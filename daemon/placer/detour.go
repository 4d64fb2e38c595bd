package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// A VM that does not reach the holder of a service may be cut off from it alone. If it became the holder then, the VMs of
// both sides would do so in turn, each time the other's epoch arrives through a VM that reaches both. It queries the holder
// through such a VM instead, the detour.

// detourCheck is the interval at which a VM that uses a detour tries the direct path.
const detourCheck = 250 * clock.Milli(1)

// errNoDetour means that the VM of a detour does not reach the holder any more.
var errNoDetour = errors.New("the detour to the holder has ended")

// detours are the VMs through which this VM reaches holders. It is safe for concurrent use.
type detours struct {
	mu   sync.Mutex
	byVM map[peer.VM]peer.Member
}

// to returns the detour to a holder, if one is in use.
func (d *detours) to(x peer.VM) (peer.Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.byVM[x]
	return m, ok
}

// add records a detour and reports whether none was in use.
func (d *detours) add(x peer.VM, through peer.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, used := d.byVM[x]
	d.byVM[x] = through
	return !used
}

func (d *detours) remove(x peer.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byVM, x)
}

// findDetour asks witnesses whether a holder answers them, and returns the first one that says so, nil if neededWitnesses say
// that it does not, or too few reply.
func (o *Owner) findDetour(s route.ServiceID, to peer.Member) *peer.Member {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout.Duration())
	defer cancel()
	witnesses := o.Holders.witnesses(s, maxWitnesses)
	replies := make(chan *peer.Member, len(witnesses))
	for _, m := range witnesses {
		go func() {
			var r ReachReply
			switch err := o.Peers.Call(ctx, m.Address, Name+".Reach", &ReachArgs{Address: to.Address, Answers: true}, &r); {
			case err != nil:
			case r.Reached:
				replies <- &m
			default:
				replies <- nil
			}
		}()
	}
	for range min(neededWitnesses, len(witnesses)) {
		select {
		case m := <-replies:
			if m != nil {
				return m
			}
		case <-ctx.Done():
		}
	}
	return nil
}

// queryThrough sends a query to the holder through another VM.
func (o *Owner) queryThrough(through peer.Member, args *AskArgs) (AskReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout.Duration())
	defer cancel()
	x, _ := o.Holders.Of(args.Service)
	f := *args
	f.Forwarded, f.Detour, f.Known = false, true, &x
	var reply AskReply
	if err := o.Peers.Call(ctx, through.Address, Name+".Ask", &f, &reply); err != nil {
		return AskReply{}, err
	}
	if reply.Moved {
		return AskReply{}, errNoDetour
	}
	return reply, nil
}

// startDetour queries a holder through another VM and uses it from now on, until the direct path works again.
func (o *Owner) startDetour(to, through peer.Member, args *AskArgs) (AskReply, error) {
	r, err := o.queryThrough(through, args)
	if err == nil && o.detours.add(to.VM, through) {
		o.Log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "holder").Str("peer", string(to.VM)).Str("through", string(through.VM)).
			Msg("the holder of a service does not respond to this VM but to others; it is queried through one of them")
		go o.endDetour(args.Service, to)
	}
	return r, err
}

// endDetour ends the detour to a holder once this VM reaches it, or another VM holds the service.
func (o *Owner) endDetour(s route.ServiceID, to peer.Member) {
	defer o.detours.remove(to.VM)
	for {
		select {
		case <-o.Holders.Changed(s):
			return
		case <-time.After(detourCheck.Duration()):
		}
		if _, ok := o.detours.to(to.VM); !ok || o.reaches(to.Address, true) {
			return
		}
	}
}
