package platform

import (
	"net/http"
	"strconv"
	"time"

	"snipeshift.example/lib/clock"
)

// watch is a long poll. It responds once the object's version is above the version in the query
// parameter "after", with 404 if that version is a deletion. After the time in the query parameter
// "wait" it responds with 304.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) bool {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	timeout, err2 := parseWait(q.Get("wait"))
	if err != nil || err2 != nil {
		http.Error(w, "malformed after or wait", http.StatusBadRequest)
		return true
	}
	k := keyFromPath(r)
	if !p.admit(w, &p.reads, &p.calls.Watches, k.kind) {
		return true
	}
	p.addWaiting(1)
	defer p.addWaiting(-1)
	limit := time.NewTimer(timeout.Duration())
	defer limit.Stop()
	return p.awaitVersion(w, r, k, Version(after), limit.C)
}

func (p *Platform) awaitVersion(w http.ResponseWriter, r *http.Request, k key, after Version, timeout <-chan time.Time) bool {
	for {
		if !p.awaitOutageEnd(r) {
			return false
		}
		p.mu.Lock()
		s, deadwatch, changed := p.table.read(k, p.stale()), p.control.Deadwatch, p.changed
		p.mu.Unlock()
		if deadwatch {
			timeout = nil // once Deadwatch was set during a watch, the watch no longer times out
		}
		if !deadwatch && s.version > after {
			writeState(w, s)
			return true
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Waiting += n
}

// parseWait parses the "wait" parameter of a watch, in milliseconds, which is limited to maxWait and
// defaults to it.
func parseWait(s string) (clock.Milli, error) {
	if s == "" {
		return maxWait, nil
	}
	n, err := strconv.ParseUint(s, 10, 32)
	return min(clock.Milli(n), maxWait), err
}

// sleep waits for a duration. It returns false if the client disconnects before its end.
func sleep(r *http.Request, duration clock.Milli) bool {
	if duration <= 0 {
		return true
	}
	t := time.NewTimer(duration.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
