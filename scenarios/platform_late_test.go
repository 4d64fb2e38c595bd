package scenarios

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/scenarios/fleet"
)

const (
	// lateSpan is the time after SIGTERM in which late requests are sent, beyond the grace period of the VMs, and lateStep
	// the time between two.
	lateSpan = 6500 * time.Millisecond
	lateStep = 250 * time.Millisecond
	// headBegin is the length of the begin of a head in bytes.
	headBegin = 20
	// connectTime is how long before SIGTERM the connections are opened.
	connectTime = 200 * time.Millisecond
)

// lateRequest is a request on a connection that was opened before its VM began to stop.
type lateRequest struct {
	// id is that of the attempt. early is the part of the request that is sent before the stop, late the rest.
	id, early, late string
	// at is when the late part is sent, counted from SIGTERM.
	at time.Duration

	status int
	body   string
	err    error
}

// newLateRequest returns a request on a route of which a part is sent early: nothing, the begin of its head, or all but half of its body.
func newLateRequest(route, part string, at time.Duration) *lateRequest {
	id := fmt.Sprintf("late-%s-%s-%d", route, part, at.Milliseconds())
	body := "body of " + id
	text := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: team.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 12000\r\nAuthorization: Token ward\r\nContent-Length: %d\r\n\r\n%s", route, id, len(body), body)
	sent := map[string]int{"nothing": 0, "head": headBegin, "body": len(text) - len(body)/2}[part]
	return &lateRequest{id: id, early: text[:sent], late: text[sent:], at: at}
}

// lateRequests returns requests on two routes whose requests may run once, a short one and a stream, of each kind and for each
// time.
func lateRequests() []*lateRequest {
	var all []*lateRequest
	for at := time.Duration(0); at < lateSpan; at += lateStep {
		for _, route := range []string{"notice", "dossier"} {
			for _, part := range []string{"nothing", "head", "body"} {
				all = append(all, newLateRequest(route, part, at))
			}
		}
	}
	return all
}

// send sends the request to a VM that begins to stop at an instant, and reads the response.
func (r *lateRequest) send(address string, stop time.Time) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		r.err = err
		return
	}
	defer c.Close()
	_, r.err = io.WriteString(c, r.early)
	time.Sleep(time.Until(stop.Add(r.at)))
	if r.err == nil {
		_, r.err = io.WriteString(c, r.late)
	}
	_ = c.SetReadDeadline(stop.Add(2 * lateSpan)) // a connection that is closed fails at the read
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	r.body, r.err = string(text), err
}

// executed returns the ids of the attempts that runners have executed.
func executed(f *fleet.Fleet) map[string]bool {
	ids := map[string]bool{}
	for _, r := range f.Platform.Runners() {
		for _, x := range r.RunTimes() {
			ids[x.ID] = true
		}
	}
	return ids
}

// Requests come late in a planned stop, on connections that were open before, some with a head or a body that began before it.
// One that the VM has taken must be answered before the process ends: a request that may not be repeated is lost otherwise.
func TestPlatformLateRequestsAreAnsweredOrUnread(t *testing.T) {
	f := newFleet(t, 3)
	v := f.VMs[0]
	requests := lateRequests()
	stop := time.Now().Add(connectTime)
	var wg sync.WaitGroup
	for _, r := range requests {
		wg.Go(func() { r.send(v.Caller, stop) })
	}
	time.Sleep(time.Until(stop))
	require.NoError(t, v.Process.Signal(syscall.SIGTERM))
	wg.Wait()
	<-v.Process.Done()
	require.True(t, v.Process.Succeeded(), v.Process.Status())
	ran, taken := executed(f), timesAtVM(t, v)
	answered, refused, unread := 0, 0, 0
	for _, r := range requests {
		switch {
		case r.status == http.StatusOK && r.err == nil:
			require.True(t, r.body == "answer to "+r.id || strings.Contains(r.body, "id: 8\n"), "%s: %q", r.id, r.body)
			answered++
		case r.status == http.StatusServiceUnavailable || r.status == http.StatusRequestTimeout:
			require.False(t, ran[r.id], "%s ran and was refused: %d %s", r.id, r.status, r.body)
			refused++
		case r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout:
			refused++ // it promises nothing
		default:
			require.Zero(t, r.status, "%s: %s", r.id, r.body)
			require.False(t, ran[r.id], "%s ran and got no answer: %v", r.id, r.err)
			require.NotContains(t, taken, r.id, "%v", r.err)
			unread++
		}
	}
	t.Logf("%d answered, %d refused, %d unread", answered, refused, unread)
	require.Positive(t, answered)
	require.Positive(t, unread)
}
