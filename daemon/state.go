package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/claim"
	"snipeshift.example/daemon/follow"
	"snipeshift.example/daemon/usage"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// state is what daemons share through the store and heartbeats.
type state struct {
	daemon   *daemon
	follower *follow.Follower
	claims   *claim.Claims
	counters *usage.Meter
}

func newState(d *daemon) *state {
	s := &state{daemon: d}
	s.follower = follow.New(d.store, d.dialer, d.clock, follow.DefaultRules, s.take)
	s.claims = claim.New(d.store, d.dialer, d.clock, claim.DefaultRules, d.members)
	s.counters = usage.New(d.store, d.clock, usage.DefaultRules, d.members)
	return s
}

func (s *state) run(d *daemon, g *errgroup.Group) {
	d.spawn(g, "document", func() error { return s.follower.Run(d.work, d.members) })
	d.spawn(g, "usage", func() error { return s.counters.Run(d.work) })
}

// flush writes what would be lost with this process. Usage goes first: an engine or a
// peer that stands still takes all the time there is for what is left to tell it.
func (s *state) flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.daemon.gate.WaitBackground()
		close(done)
	}()
	if err := s.counters.Flush(ctx); err != nil {
		s.daemon.log.Warn().Err(err).Msg("the last usage is not in the store; a neighbour's copy will be written")
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// take puts a document in force; one that does not hold together stays out.
func (s *state) take(r peer.Revision, text []byte) error {
	start := time.Now()
	doc, ps := document.Parse(text, "document")
	if err := ps.Err(); err != nil {
		s.daemon.log.Error().Uint64("revision", uint64(r)).Err(err).Msg("a document is refused; the earlier one stays in force")
		s.daemon.ring.Add(timeline.Event{Kind: timeline.Rejected, Text: err.Error()})
		return err
	}
	s.daemon.book.index.Store(document.NewIndex(doc))
	s.daemon.limits.Configure(doc.Workspaces)
	s.daemon.owner.Reconfigure()
	s.daemon.log.Info().Uint64("revision", uint64(r)).Dur("took", time.Since(start)).Msg("a document is in force")
	s.daemon.ring.Add(timeline.Event{Kind: timeline.Applied, Text: fmt.Sprintf("revision %d", r)})
	return nil
}

// Newest implements member.Documents.
func (s *state) Newest() (peer.Revision, []byte) { return s.follower.Newest() }

// unready lists why the shared state keeps this daemon from being ready.
func (s *state) unready() []string {
	if s.follower.Ready() {
		return nil
	}
	return []string{"neither the store nor a peer was reached in the last seconds, or there is no document"}
}

// Count implements caller.Meter.
func (s *state) Count(w decide.WorkspaceID, u peer.Usage) { s.counters.Add(w, u) }

// usage lists every counter known here.
func (s *state) usage() []peer.WorkspaceUsage { return s.counters.Counters() }
