package tunnel

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"snipeshift.example/lib/clock"
)

// provesPaths reports whether this VM has reached upstreams other than the one at address since a time. If it reaches none
// now, its paths count as lost.
func (d *Dialer) provesPaths(address string, since clock.Milli, cause error) bool {
	d.mu.Lock()
	sound := d.table.ConnectedSince(since)
	d.mu.Unlock()
	if sound {
		return true
	}
	others := slices.DeleteFunc(d.Upstreams.Addresses(), func(a string) bool { return a == address })
	if len(others) == 0 {
		return false
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if d.reachesAny(others[:min(len(others), checks)]) {
		return true
	}
	d.mu.Lock()
	lost := d.table.Unproven(d.Clock.Now(), isRefusal(cause))
	d.mu.Unlock()
	if lost {
		d.noteLoss(cause)
	}
	return false
}

// reachesAny reports whether a direct connect to one of the upstreams succeeds. Each is tried once those before it have
// failed or have not answered for checkInterval.
func (d *Dialer) reachesAny(addresses []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	begun, failed := 0, 0
	for failed < len(addresses) {
		if begun < len(addresses) {
			go func(a string) {
				c, err := d.connect(ctx, "tcp", a)
				if err == nil {
					_ = c.Close()
				}
				results <- err == nil
			}(addresses[begun])
			begun++
		}
		select {
		case reached := <-results:
			if reached {
				return true
			}
			failed++
		case <-t.C:
		}
	}
	return false
}
