package main

import (
	"context"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/platform"
)

// Times of reading the platform's list of VMs.
const (
	// listInterval is the time between two reads in a small fleet.
	listInterval = clock.Second
	// fleetListRate is how many reads a second all VMs together may make: the store serves some
	// 2,000 reads a second, and this is a twentieth.
	fleetListRate = 100
	// listTimeout bounds one read. During an outage of the store the last list stays in use.
	listTimeout = 2 * time.Second
)

// watchVMList reads the platform's list of VMs periodically until d.work is canceled, and keeps new
// requests off upstreams that the list marks as leaving. The list lags; when an engine itself
// declares that it is leaving, the owner of its pool acts on that at once.
func (d *daemon) watchVMList() {
	for {
		d.readVMList()
		period := max(listInterval, clock.Milli(len(d.members.Live()))*clock.Second/fleetListRate)
		t := time.NewTimer(period.Duration())
		select {
		case <-d.work.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func (d *daemon) readVMList() {
	ctx, cancel := context.WithTimeout(d.work, listTimeout)
	defer cancel()
	vms, err := d.store.VMs(ctx)
	if err != nil {
		return
	}
	d.logUnusableVMs()
	leaving := map[decide.UpstreamID]bool{}
	for _, v := range vms {
		if v.Role == platform.Upstream && v.State == platform.Leaving {
			leaving[decide.UpstreamID(v.Name)] = true
		}
	}
	if d.config.setLeaving(leaving) {
		d.log.Info().Int("leaving", len(leaving)).Msg("the set of upstreams that the platform lists as leaving has changed")
		d.owner.Reconfigure()
	}
}

// logUnusableVMs logs the number of entries of the list that are no VMs once it has changed.
func (d *daemon) logUnusableVMs() {
	n := d.store.Counts().UnusableVMs
	if n == d.unusableVMs {
		return
	}
	d.unusableVMs = n
	d.log.Warn().Uint64("unusable", n).Msg("entries of the platform's list of VMs are no VMs and are ignored")
}
