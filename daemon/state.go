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

// sharedState is the state that daemons share through the store and heartbeats: the configuration
// document, idempotency claims and usage counters.
type sharedState struct {
	daemon   *daemon
	follower *follow.Follower
	claims   *claim.Claims
	counters *usage.Meter
}

func newState(d *daemon) *sharedState {
	s := &sharedState{daemon: d}
	s.follower = follow.New(d.store, d.dialer, d.clock, follow.DefaultRules, s.applyDocument)
	s.claims = claim.New(d.store, d.dialer, d.clock, claim.DefaultRules, d.members)
	s.counters = usage.New(d.store, d.clock, usage.DefaultRules, d.members)
	return s
}

func (s *sharedState) run(d *daemon, g *errgroup.Group) {
	d.spawn(g, "document", func() error { return s.follower.Run(d.work, d.members) })
	d.spawn(g, "usage", func() error { return s.counters.Run(d.work) })
}

// flush writes the state that would be lost with this process. The usage counters do not wait for
// the gate's last messages, since an engine or a peer that hangs can use up the whole time until ctx
// ends.
func (s *sharedState) flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.daemon.gate.WaitBackground()
		close(done)
	}()
	if err := s.counters.Flush(ctx); err != nil {
		s.daemon.log.Warn().Err(err).Msg("cannot write the last usage counters to the store; another VM will write its copy of them")
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// applyDocument parses a configuration document and puts it in force. An invalid document is
// rejected, and the earlier one stays in force.
func (s *sharedState) applyDocument(r peer.Revision, text []byte) error {
	start := time.Now()
	doc, ps := document.Parse(text, "document")
	if err := ps.Err(); err != nil {
		s.daemon.log.Error().Uint64("revision", uint64(r)).Err(err).Msg("invalid configuration document rejected; the earlier one stays in force")
		s.daemon.ring.Add(timeline.Event{Kind: timeline.Rejected, Text: err.Error()})
		return err
	}
	s.daemon.config.index.Store(document.NewIndex(doc))
	s.daemon.limits.Configure(doc.Workspaces)
	s.daemon.owner.Reconfigure()
	s.daemon.log.Info().Uint64("revision", uint64(r)).Dur("took", time.Since(start)).Msg("configuration document is in force")
	s.daemon.ring.Add(timeline.Event{Kind: timeline.Applied, Text: fmt.Sprintf("revision %d", r)})
	return nil
}

// Newest implements member.Documents.
func (s *sharedState) Newest() (peer.Revision, []byte) { return s.follower.Newest() }

// unready lists the reasons in the shared state for which this daemon is not ready.
func (s *sharedState) unready() []string {
	if s.follower.Ready() {
		return nil
	}
	return []string{"neither the store nor a peer was reached in the last seconds, or there is no document"}
}

// Count implements caller.Meter.
func (s *sharedState) Count(w decide.WorkspaceID, u peer.Usage) { s.counters.Add(w, u) }

// usage lists every usage counter that this daemon knows.
func (s *sharedState) usage() []peer.WorkspaceUsage { return s.counters.Counters() }
