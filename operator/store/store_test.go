package store

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
)

// writeFirst writes the first document.
func writeFirst(t *testing.T, s *platformtest.Store) peer.Revision {
	r, err := Write(t.Context(), s, 0, []byte("old"))
	require.NoError(t, err)
	return r
}

// currentText returns the text of the newest document.
func currentText(t *testing.T, s *platformtest.Store) string {
	c, err := Read(t.Context(), s)
	require.NoError(t, err)
	return string(c.Text)
}

// Two operators read the same revision, edit and apply. The second write must fail, otherwise it would
// silently overwrite the first one's change.
func TestConcurrentWriteFails(t *testing.T) {
	s := platformtest.New()
	base := writeFirst(t, s)
	_, err := Write(t.Context(), s, base, []byte("first"))
	require.NoError(t, err)
	_, err = Write(t.Context(), s, base, []byte("second"))
	require.ErrorIs(t, err, ErrSuperseded)
	require.Equal(t, "first", currentText(t, s))
	_, err = Write(t.Context(), s, 0, []byte("new"))
	require.ErrorIs(t, err, ErrSuperseded)
}

// The write takes effect and the response is lost. If Write reported a failure, the operator would apply
// again and overwrite changes that others have made in the meantime.
func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	s := platformtest.New()
	base := writeFirst(t, s)
	s.LoseResponses(1)
	r, err := Write(t.Context(), s, base, []byte("new"))
	require.NoError(t, err)
	c, err := Read(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, c.Revision, r)
	require.Equal(t, "new", string(c.Text))
}

// The write itself is lost. The store still returns the base revision, so the same conditional write is
// retried and takes effect once.
func TestLostWriteIsRetried(t *testing.T) {
	s := platformtest.New()
	base := writeFirst(t, s)
	s.LoseWrites(2)
	_, err := Write(t.Context(), s, base, []byte("new"))
	require.NoError(t, err)
	require.Equal(t, "new", currentText(t, s))
}

// A write is delayed in the network and delivered after a later attempt has taken effect. Its condition
// names the old revision, so it must not change anything.
func TestDelayedWriteChangesNothing(t *testing.T) {
	s := platformtest.New()
	base := writeFirst(t, s)
	s.DelayWrites(1)
	r, err := Write(t.Context(), s, base, []byte("new"))
	require.NoError(t, err)
	next, err := Write(t.Context(), s, r, []byte("newer"))
	require.NoError(t, err)
	require.Greater(t, next, r)
	s.DeliverDelayed()
	require.Equal(t, "newer", currentText(t, s))
}

// The response is lost and reads return an old copy. The outcome cannot be determined, so reporting
// either success or failure could be false.
func TestUnresolvedOutcomeIsUnknown(t *testing.T) {
	s := platformtest.New()
	base := writeFirst(t, s)
	s.SetStale(true)
	s.LoseResponses(1)
	_, err := Write(t.Context(), s, base, []byte("new"))
	require.ErrorIs(t, err, ErrUnknown)
}

func TestOutageIsNotUnknownOutcome(t *testing.T) {
	s := platformtest.New()
	s.SetOutage(true)
	_, err := Write(t.Context(), s, 0, []byte("new"))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, ErrUnknown)
}

// The response to the write is lost, and another operator replaces the document before it is read back.
// Whether or not the write took effect, its document is no longer in force, and Write must report that.
func TestLostResponseThenConcurrentChange(t *testing.T) {
	s := platformtest.New()
	base := writeFirst(t, s)
	_, err := Write(t.Context(), overtakenStore{s}, base, []byte("new"))
	require.ErrorIs(t, err, ErrSuperseded)
	require.Equal(t, "theirs", currentText(t, s))
}

// overtakenStore is a store that loses each write and performs one of another operator instead.
type overtakenStore struct{ *platformtest.Store }

func (o overtakenStore) Put(ctx context.Context, k platform.Kind, n platform.Name, _ []byte, c platform.Condition) (platform.Version, error) {
	_, err := o.Store.Put(ctx, k, n, []byte("theirs"), c)
	if err != nil {
		return 0, err
	}
	return 0, platform.ErrUnknown
}
