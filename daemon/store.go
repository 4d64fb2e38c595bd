package main

import (
	"context"
	"errors"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/timeline"
)

// recordedStore is a client of the platform's store that records its calls in the timeline. It omits
// successful reads of the list of VMs, of which there is one a second, and watches that return no
// change: they would displace the other events from the ring buffer.
type recordedStore struct {
	*platform.Client
	ring *timeline.Ring
}

// Get implements the Store interfaces of the daemon's components.
func (s *recordedStore) Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error) {
	o, err := s.Client.Get(ctx, k, n)
	s.record(timeline.Read, k, n, err)
	return o, err
}

// Watch implements the Store interfaces of the daemon's components.
func (s *recordedStore) Watch(ctx context.Context, k platform.Kind, n platform.Name, after platform.Version, wait clock.Milli) (platform.Object, bool, error) {
	o, changed, err := s.Client.Watch(ctx, k, n, after, wait)
	if changed || err != nil {
		s.record(timeline.Read, k, n, err)
	}
	return o, changed, err
}

// List implements the Store interfaces of the daemon's components.
func (s *recordedStore) List(ctx context.Context, k platform.Kind, prefix string) ([]platform.Object, error) {
	os, err := s.Client.List(ctx, k, prefix)
	s.record(timeline.Read, k, platform.Name(prefix), err)
	return os, err
}

// VMs reads the platform's list of VMs.
func (s *recordedStore) VMs(ctx context.Context) ([]platform.VM, error) {
	vms, err := s.Client.VMs(ctx)
	if err != nil {
		s.record(timeline.Read, "vms", "", err)
	}
	return vms, err
}

// Put implements the Store interfaces of the daemon's components.
func (s *recordedStore) Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error) {
	v, err := s.Client.Put(ctx, k, n, value, cond)
	s.record(timeline.Wrote, k, n, err)
	return v, err
}

// Delete implements the Store interfaces of the daemon's components.
func (s *recordedStore) Delete(ctx context.Context, k platform.Kind, n platform.Name, cond platform.Condition) error {
	err := s.Client.Delete(ctx, k, n, cond)
	s.record(timeline.Wrote, k, n, err)
	return err
}

// record adds a call and its outcome to the timeline. The kind success is used for a call without
// error.
func (s *recordedStore) record(success timeline.Kind, k platform.Kind, n platform.Name, err error) {
	kind := success
	switch {
	case errors.Is(err, context.Canceled):
		return // this daemon canceled the call
	case errors.Is(err, platform.ErrConflict):
		kind = timeline.Conflicted
	case errors.Is(err, platform.ErrUnknown):
		kind = timeline.Ambiguous
	case errors.Is(err, platform.ErrUnavailable):
		kind = timeline.Unreachable
	}
	s.ring.Add(timeline.Event{Kind: kind, Peer: "store", Text: string(k) + "/" + string(n)})
}
