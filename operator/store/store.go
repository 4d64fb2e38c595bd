// Package store reads and replaces the configuration document in the
// platform's store.
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

// Where the document is kept.
const (
	kind platform.Kind = "config"
	name platform.Name = "document"
)

// Class is the error class of this package.
var Class = errs.Class("store")

// Outcomes of Write that are no success.
var (
	// ErrSuperseded means that another change came first; nothing of the text is in force.
	ErrSuperseded = errs.New("another change came first")
	// ErrUnknown means that the answer was lost and reading back did not settle what happened.
	ErrUnknown = errs.New("the outcome is unknown")
)

// ObjectStore is what this package needs of the platform's store.
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

// Rules of repeating a write whose answer was lost.
const (
	tries = 6
	pause = 200 * time.Millisecond
)

// Write replaces revision base, zero for none, by text. It does so once or not
// at all: each try carries the condition that base is still the newest, and
// when an answer was lost the store is read back before it says anything.
func Write(ctx context.Context, s ObjectStore, base peer.Revision, text []byte) (peer.Revision, error) {
	// sent is set once a try may have taken effect without our knowing.
	sent := false
	var err error
	for try := range tries {
		if try > 0 && !sleep(ctx, pause) {
			break
		}
		var v platform.Version
		v, err = s.Put(ctx, kind, name, text, platform.IfVersion(platform.Version(base)))
		switch {
		case err == nil:
			return peer.Revision(v), nil
		case errors.Is(err, platform.ErrConflict) && !sent:
			return 0, ErrSuperseded
		case errors.Is(err, platform.ErrRefused):
			return 0, err
		case errors.Is(err, platform.ErrUnknown):
			sent = true
		}
		if !sent {
			continue
		}
		// A lost answer, or a conflict that our own lost write may have caused.
		if r, settled, lost := readBack(ctx, s, base, text); settled {
			return r, lost
		}
	}
	if sent {
		return 0, Class.Wrap(errors.Join(ErrUnknown, err))
	}
	return 0, err
}

// readBack finds out whether a write took effect. It stays unsettled while the
// store shows base: reads may be old, and the write may still be on its way.
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
