package placer

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/decide/locality"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// ServiceLocality counts in which failure domains the requests of one service run.
type ServiceLocality struct {
	Service route.ServiceID
	Counts  locality.Counts
	// Paces are the observed times to the first byte as multiples of the planned ones.
	Paces Ratios
}

// ListLocality lists the counts of the services for which this VM has a pool. It is empty unless
// placement by failure domain is enabled.
func (o *Owner) ListLocality() []ServiceLocality {
	var rows []ServiceLocality
	for s, p := range o.allPools() {
		p.mu.Lock()
		if c, enabled := p.pool.LocalityCounts(); enabled {
			rows = append(rows, ServiceLocality{Service: s, Counts: c, Paces: p.paceRatios.sums()})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(rows, func(x, y ServiceLocality) int { return cmp.Compare(x.Service, y.Service) })
	return rows
}

// ratioBounds are the upper bounds of the counted ratios.
var ratioBounds = [...]float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3, 5}

// ratioHistogram counts ratios. counts has one element for each bound, and one for all greater ratios.
type ratioHistogram struct {
	counts [len(ratioBounds) + 1]uint64
	sum    float64
}

// add counts ratios.
func (h *ratioHistogram) add(ratios []float64) {
	for _, r := range ratios {
		i, _ := slices.BinarySearch(ratioBounds[:], r)
		h.counts[i]++
		h.sum += r
	}
}

// Ratios are the counts of a histogram in the form of Prometheus.
type Ratios struct {
	// Below has the number of ratios up to each of Bounds.
	Bounds []float64
	Below  []uint64
	Count  uint64
	Sum    float64
}

// sums returns the counts.
func (h *ratioHistogram) sums() Ratios {
	r := Ratios{Bounds: ratioBounds[:], Sum: h.sum}
	for i, n := range h.counts {
		r.Count += n
		if i < len(ratioBounds) {
			r.Below = append(r.Below, r.Count)
		}
	}
	return r
}

// notePaces counts what the pool has observed of paces, and logs the upstreams that have become slow or
// are no longer slow. The pool's lock is held.
func (o *Owner) notePaces(s route.ServiceID, p *ownedPool) {
	ratios, changes := p.pool.TakePaces()
	p.paceRatios.add(ratios)
	for _, c := range changes {
		message := "upstream is slow by its learned pace"
		if !c.Slow {
			message = "upstream is no longer slow by its learned pace"
		}
		o.Log.Info().Str(logline.Key, logline.Pace).Str("service", string(s)).Str("upstream", string(c.Upstream)).Bool("slow", c.Slow).Float64("pace", c.Pace).
			Msg(message)
	}
}
