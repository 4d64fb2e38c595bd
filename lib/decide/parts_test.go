package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/fault"
)

// submitNew submits a request that is like no other but for the beginnings of its prompt.
func (b *harness) submitNew(id string, prefixes ...PrefixHash) {
	r := b.request(id)
	r.Prefixes, r.Fingerprint = prefixes, uint64(len(id))<<32|uint64(len(b.granted)+len(b.refused)+1)
	b.submit(r)
}

// Requests that share their beginning, and are otherwise new each time, crash each engine that begins to answer them.
func TestBeginningOfPromptCrashesFewUpstreams(t *testing.T) {
	b := newHarness(t, 12)
	crashes, served := 0, 0
	for i := range 40 {
		id := fmt.Sprint("bad", i)
		b.submitNew(id, 7, PrefixHash(100+i))
		if _, granted := b.granted[RequestID(id)]; granted {
			crashes++
			b.finish(id, Lost)
		} else {
			require.Equal(t, fault.Quarantined, b.refused[RequestID(id)].Fault)
		}
		id = fmt.Sprint("sound", i)
		b.submitNew(id, 8, PrefixHash(200+i))
		if _, granted := b.granted[RequestID(id)]; granted {
			served++
			b.firstToken(id)
			b.wait(clock.Second)
			b.finish(id, Done)
		}
	}
	require.LessOrEqual(t, crashes, 5)
	require.Equal(t, 40, served)
}

// A suspect waits for the answer to another copy of it; requests behind it in its lane must not wait as well.
func TestSuspectThatWaitsBlocksNoOther(t *testing.T) {
	b := newHarness(t, 6)
	copyOf := func(id string) Request {
		r := b.request(id)
		r.Fingerprint, r.Deadline = 7, r.Deadline-clock.Minute
		return r
	}
	b.submit(copyOf("first"))
	b.finish("first", Lost)
	b.submit(copyOf("second"))
	b.submit(copyOf("waits"))
	b.submit(b.request("other"))
	b.wait(clock.Second)
	require.Contains(t, b.granted, RequestID("second"))
	require.NotContains(t, b.granted, RequestID("waits"))
	require.Contains(t, b.granted, RequestID("other"))
}

// Another domain's pool of the same model, or the owner before this one, has seen the crashes.
func TestPoolLearnsCrashesOfOthers(t *testing.T) {
	b, other := newHarness(t, 6), newHarness(t, 6)
	for i := range 3 {
		id := fmt.Sprint("bad", i)
		b.submitNew(id, 7)
		b.finish(id, Lost)
		b.wait(3 * clock.Second)
	}
	other.pool.LearnCrashes(other.now, b.pool.Summary(b.now).Crashes)
	other.submitNew("bad", 7, 1)
	require.Equal(t, fault.Quarantined, other.refused["bad"].Fault)
	require.Positive(t, other.refused["bad"].Retry)
}
