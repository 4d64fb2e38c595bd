// Package store reads and replaces the configuration document in the platform's store.
package store

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// The object that contains the document.
const (
	kind platform.Kind = "config"
	name platform.Name = "document"
)

// Class is the error class of this package.
var Class = errs.Class("store")

// Errors of Write.
var (
	// ErrSuperseded means that another operator's change came first and the document was not written.
	ErrSuperseded = errs.New("another change came first")
	// ErrUnknown means that the response was lost, and that reading the document back did not show
	// whether the write took effect.
	ErrUnknown = errs.New("the outcome is unknown")
)

// ObjectStore is the part of the client of the platform's store that this package uses.
type ObjectStore interface {
	Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error)
	Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, c platform.Condition) (platform.Version, error)
}

// Current is a document with its revision; revision zero when there is none.
type Current struct {
	Revision peer.Revision
	Text     []byte
}

// Read returns the newest document.
func Read(ctx context.Context, s ObjectStore) (Current, error) {
	o, err := s.Get(ctx, kind, name)
	if errors.Is(err, platform.ErrNotFound) {
		return Current{}, nil
	}
	if err != nil {
		return Current{}, err
	}
	return Current{peer.Revision(o.Version), o.Value}, nil
}

// Number of attempts to write, and the pause between them.
const (
	maxAttempts = 6
	retryPause  = 200 * time.Millisecond
)

// Write replaces revision base of the document (zero if there is none) by text and returns the new
// revision. The write takes effect at most once: each attempt is conditional on base still being the
// newest revision. If a response was lost, Write reads the document back to determine the outcome.
func Write(ctx context.Context, s ObjectStore, base peer.Revision, text []byte) (peer.Revision, error) {
	// mayHaveApplied is set once an attempt without a response may have taken effect.
	mayHaveApplied := false
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !sleep(ctx, retryPause) {
			break
		}
		var v platform.Version
		v, err = s.Put(ctx, kind, name, text, platform.IfVersion(platform.Version(base)))
		switch {
		case err == nil:
			return peer.Revision(v), nil
		case errors.Is(err, platform.ErrConflict) && !mayHaveApplied:
			return 0, ErrSuperseded
		case errors.Is(err, platform.ErrRefused):
			return 0, err
		case errors.Is(err, platform.ErrUnknown):
			mayHaveApplied = true
		}
		if !mayHaveApplied {
			continue
		}
		// A response was lost, or the conflict may be with our own write whose response was lost.
		if r, settled, outcomeErr := readBack(ctx, s, base, text); settled {
			return r, outcomeErr
		}
	}
	if mayHaveApplied {
		return 0, Class.Wrap(errors.Join(ErrUnknown, err))
	}
	return 0, err
}

// readBack determines whether a write took effect. The outcome remains unsettled while the store returns
// base: reads may be stale, and the write may still arrive.
func readBack(ctx context.Context, s ObjectStore, base peer.Revision, text []byte) (r peer.Revision, settled bool, err error) {
	c, err := Read(ctx, s)
	switch {
	case err != nil || c.Revision <= base:
		return 0, false, nil
	case bytes.Equal(c.Text, text):
		return c.Revision, true, nil
	default:
		return 0, true, ErrSuperseded
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
