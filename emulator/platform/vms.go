package platform

import (
	"encoding/json"
	"net/http"
)

// listVMs responds with the VM list as it was set before the lag.
func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) bool {
	if !p.admit(w, &p.reads, &p.calls.Reads, "vms") {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.visibleVMs())
	return true
}

// visibleVMs returns the newest VM list that was set at least one lag ago, and discards older lists.
func (p *Platform) visibleVMs() []VM {
	cutoff := p.clock.Now() - p.control.Lag
	for len(p.vms) > 1 && p.vms[1].setAt <= cutoff {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 || p.vms[0].setAt > cutoff {
		return []VM{}
	}
	return p.vms[0].vms
}

// putVMs sets the VM list. The first list is visible immediately, later ones after the lag.
func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	vms := []VM{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := vmList{setAt: p.clock.Now(), vms: vms}
	if len(p.vms) == 0 {
		l.setAt = 0
	}
	p.vms = append(p.vms, l)
	w.WriteHeader(http.StatusNoContent)
}
