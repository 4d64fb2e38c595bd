package placer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// hand is a clock that a test sets.
type hand struct{ at clock.Milli }

func (h *hand) Now() clock.Milli { return h.at }

// In a flood a holder answers late, its successor takes the service over and is as busy, and so does the next one: 25 times in a second and a half,
// each time with a message to every VM.
func TestAServiceIsNotTakenOverAgainAndAgain(t *testing.T) {
	k := &hand{at: 1000}
	h := NewHolders(members{{VM: "self"}}, k, quiet)
	hear := func(epoch uint64) { h.Hear(peer.Holder{Service: "s", VM: "other", Epoch: epoch}, "test") }
	hear(1)
	require.Equal(t, verifyWait, h.patience("s"))
	var got []clock.Milli
	for epoch := uint64(2); epoch < 8; epoch++ {
		k.at += 50
		hear(epoch)
		got = append(got, h.patience("s")/verifyWait)
	}
	require.Equal(t, []clock.Milli{1, 2, 4, 8, 8, 8}, got, "the loss of one holder after the other is found out as soon as before")
	require.Equal(t, verifyWait, h.patience("t"))
	k.at += unrest + 1
	require.Equal(t, verifyWait, h.patience("s"))
}
