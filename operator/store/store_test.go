package store

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
)

// seed writes the first document.
func seed(t *testing.T, s *platformtest.Store) peer.Revision {
	r, err := Write(t.Context(), s, 0, []byte("old"))
	require.NoError(t, err)
	return r
}

func inForce(t *testing.T, s *platformtest.Store) string {
	c, err := Read(t.Context(), s)
	require.NoError(t, err)
	return string(c.Text)
}

// Two operators read the same revision, edit and apply. The second one must be
// told, or the first one's change would be gone without anybody knowing.
func TestTheLoserOfARaceIsToldAndChangesNothing(t *testing.T) {
	s := platformtest.New()
	base := seed(t, s)
	_, err := Write(t.Context(), s, base, []byte("first"))
	require.NoError(t, err)
	_, err = Write(t.Context(), s, base, []byte("second"))
	require.ErrorIs(t, err, ErrSuperseded)
	require.Equal(t, "first", inForce(t, s))
	_, err = Write(t.Context(), s, 0, []byte("new"))
	require.ErrorIs(t, err, ErrSuperseded)
}

// The write takes effect and its answer is lost. Told "failed", the operator
// would apply again over what others did meanwhile.
func TestALostAnswerIsSettledByReadingBack(t *testing.T) {
	s := platformtest.New()
	base := seed(t, s)
	s.LoseResponses(1)
	r, err := Write(t.Context(), s, base, []byte("new"))
	require.NoError(t, err)
	c, err := Read(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, c.Revision, r)
	require.Equal(t, "new", string(c.Text))
}

// The write itself is lost with its answer. The store still shows the base, so
// the same conditional write is tried again and takes effect once.
func TestALostWriteIsTriedAgain(t *testing.T) {
	s := platformtest.New()
	base := seed(t, s)
	s.LoseWrites(2)
	_, err := Write(t.Context(), s, base, []byte("new"))
	require.NoError(t, err)
	require.Equal(t, "new", inForce(t, s))
}

// A write hangs in the network and is delivered after a later try already took
// effect. Its condition names the old revision, so it must change nothing.
func TestAWriteDeliveredLateChangesNothing(t *testing.T) {
	s := platformtest.New()
	base := seed(t, s)
	s.DelayWrites(1)
	r, err := Write(t.Context(), s, base, []byte("new"))
	require.NoError(t, err)
	next, err := Write(t.Context(), s, r, []byte("newer"))
	require.NoError(t, err)
	require.Greater(t, next, r)
	s.DeliverDelayed()
	require.Equal(t, "newer", inForce(t, s))
}

// The answer is lost and reads are answered from an old copy. Nobody can tell
// then, and saying either "done" or "not done" could be false.
func TestWhatCannotBeSettledIsCalledUnknown(t *testing.T) {
	s := platformtest.New()
	base := seed(t, s)
	s.SetStale(true)
	s.LoseResponses(1)
	_, err := Write(t.Context(), s, base, []byte("new"))
	require.ErrorIs(t, err, ErrUnknown)
}

func TestAnOutageIsNoUnknownOutcome(t *testing.T) {
	s := platformtest.New()
	s.SetOutage(true)
	_, err := Write(t.Context(), s, 0, []byte("new"))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, ErrUnknown)
}

// The answer of the first write is lost, and before it could be read back
// another operator replaced the document. Ours is not in force, whichever way
// it went, and that is what the operator must hear.
func TestALostAnswerFollowedByAnotherChangeIsALostRace(t *testing.T) {
	s := platformtest.New()
	base := seed(t, s)
	_, err := Write(t.Context(), overtaken{s}, base, []byte("new"))
	require.ErrorIs(t, err, ErrSuperseded)
	require.Equal(t, "theirs", inForce(t, s))
}

// overtaken loses each write and lets another operator write in its place.
type overtaken struct{ *platformtest.Store }

func (o overtaken) Put(ctx context.Context, k platform.Kind, n platform.Name, _ []byte, c platform.Condition) (platform.Version, error) {
	_, err := o.Store.Put(ctx, k, n, []byte("theirs"), c)
	if err != nil {
		return 0, err
	}
	return 0, platform.ErrUnknown
}
