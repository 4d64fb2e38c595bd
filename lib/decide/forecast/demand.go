package forecast

import (
	"slices"

	"snipeshift.example/lib/clock"
)

// demandPeriod is the time over which arrivals are counted.
const demandPeriod clock.Milli = 250

// demandPeriods is the number of counts whose median is the rate. They cover 2 s, for which a client
// with an aim of 300 ms waits.
const demandPeriods = 8

// Demand estimates the rate of arriving work. It is the median over some periods: clients that
// connect again all at once after a failure are no rate that continues, and they are in the queue
// already.
type Demand struct {
	// counts are those of the last periods. current is the number of the period that is counted at
	// present, at index current modulo the number of counts.
	counts  [demandPeriods + 1]float64
	current clock.Milli
}

// Add counts n units that arrive.
func (d *Demand) Add(now clock.Milli, n float64) {
	d.advance(now)
	d.counts[d.current%(demandPeriods+1)] += n
}

// Rate returns the number of units that arrive per millisecond.
func (d *Demand) Rate(now clock.Milli) float64 {
	d.advance(now)
	var past [demandPeriods]float64
	for i := range past {
		past[i] = d.counts[(d.current+1+clock.Milli(i))%(demandPeriods+1)]
	}
	slices.Sort(past[:])
	return (past[demandPeriods/2-1] + past[demandPeriods/2]) / 2 / float64(demandPeriod)
}

// advance begins the period of an instant.
func (d *Demand) advance(now clock.Milli) {
	period := now / demandPeriod
	for range min(period-d.current, demandPeriods+1) {
		d.current++
		d.counts[d.current%(demandPeriods+1)] = 0
	}
	if period > d.current {
		d.current = period
		clear(d.counts[:])
	}
}

// ratioWindow is the number of ended requests over which a Ratio is averaged.
const ratioWindow = 50.0

// Ratio is the moving average of the ratio of observed to estimated times. With estimates of 1 it is
// the moving average of the observations.
type Ratio struct{ sum, weight float64 }

// Note includes one observation.
func (r *Ratio) Note(observed, estimated float64) {
	if observed <= 0 || estimated <= 0 {
		return
	}
	// Times are summed, not their ratios: a short request that took twice as long as estimated says
	// less about the capacity than a long one.
	r.sum += observed - r.sum/ratioWindow
	r.weight += estimated - r.weight/ratioWindow
}

// Apply corrects an estimate. Without observations the estimate is returned.
func (r *Ratio) Apply(estimated float64) float64 {
	if r.weight == 0 {
		return estimated
	}
	return estimated * r.sum / r.weight
}

// Remaining returns for how much longer work is expected to last of which this estimate is known.
// Work that lasts longer than estimated is assumed to last for as long again as it is overdue.
func Remaining(estimated, age float64) float64 {
	if age > estimated {
		return age - estimated
	}
	return estimated - age
}
