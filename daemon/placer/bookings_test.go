package placer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/booking"
	"snipeshift.example/lib/decide/span"
)

// A booking must reach the gate as the owner made it, and the retry must find it by way of another VM.
func TestBookingReachesGateAndIsKept(t *testing.T) {
	d := newDeployment(t)
	var lines bytes.Buffer
	for _, o := range d.owners {
		o.Bookings = booking.Limits{Horizon: 5000, Most: 10}
		o.Log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
	}
	now := testClock{}.Now()
	placed := ask("late")
	placed.Aim = now - 1 // it shows the owner the rate at which late requests are placed
	_, err := d.client.Ask(context.Background(), "s", placed)
	require.NoError(t, err)
	refused := ask("refused")
	refused.Output = 1_000_000 // more than an engine can hold
	refused.Patience, refused.Fingerprint, refused.Workspace = now+1, 7, "w"
	reply, err := d.client.Ask(context.Background(), "s", refused)
	require.NoError(t, err)
	require.Equal(t, "deadline", reply.Reason)
	require.True(t, reply.Booked)
	require.Greater(t, reply.Retry, booking.Early)
	require.Less(t, reply.Retry, (refused.Deadline-now)/3)

	owner := d.owners[d.ranked[0].Address]
	require.Equal(t, []ServiceBookings{{Service: "s", Counts: booking.Counts{Made: 1}, Open: 1}}, owner.ListBookings())
	owner.logBookings()
	owner.logBookings()
	require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte(`"bookings"`)), "nothing has changed since the first line")

	time.Sleep(reply.Retry.Duration())
	retry := wireAsk("retry")
	retry.Fingerprint, retry.Workspace = refused.Fingerprint, refused.Workspace
	require.NoError(t, d.owners[d.ranked[1].Address].Ask(&AskArgs{Service: "s", Ask: retry, Wait: clock.Second}, &reply))
	require.True(t, reply.Decided)
	require.Equal(t, []ServiceBookings{{Service: "s", Counts: booking.Counts{Made: 1, Kept: 1}}}, owner.ListBookings())
}

// A refusal that waits for its gate is told with the time that is left by then.
func TestUndeliveredBookingNamesTheTimeLeft(t *testing.T) {
	o := newOwner(t, "e0")
	p := o.lockedPool("s")
	p.undelivered["r"] = span.Decision{Action: span.Refused, Request: "r", Fault: "overloaded", Retry: 2000, BookedAt: testClock{}.Now() + 1000}
	p.mu.Unlock()
	var reply AskReply
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: wireAsk("r"), Wait: clock.Second, Local: true}, &reply))
	require.True(t, reply.Booked)
	require.LessOrEqual(t, reply.Retry, clock.Second)
}
