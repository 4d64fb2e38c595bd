package load

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/emulator/proc"
)

// StreamsSetup sets up the measure of a daemon's memory under open streams.
type StreamsSetup struct {
	// Address is host:port of the daemon, Pid its process.
	Address string
	Pid     int
	// Count is how many streams are open at once.
	Count int
	// Key, Model and Kind are what the daemon is told; Output is the length of
	// each answer in tokens, long enough that none ends during the measure.
	Key, Model, Kind string
	Output           int
	// Settle is how long all streams stay open before the measure.
	Settle time.Duration
}

// StreamMemory is the result: resident memory in bytes.
type StreamMemory struct {
	// Open counts streams that had their first token.
	Open int `json:"open"`
	// Before is without streams, During with all of them open.
	Before int64 `json:"before"`
	During int64 `json:"during"`
	// Each is the difference for one stream.
	Each int64 `json:"each"`
	// Reason is why a stream ended before the measure, empty if none did.
	Reason string `json:"reason,omitempty"`
}

// MeasureStreams opens the streams, waits until each has had its first token, and reads
// the daemon's memory before and meanwhile. It closes the streams at the end.
func MeasureStreams(ctx context.Context, s StreamsSetup) (StreamMemory, error) {
	before, err := proc.ReadUsage(s.Pid)
	if err != nil {
		return StreamMemory{}, err
	}
	h := StreamMemory{Before: before.Memory}
	ctx, cancel := context.WithCancel(ctx)
	first := make(chan struct{}, s.Count)
	ended := make(chan caller.Result, s.Count)
	var open sync.WaitGroup
	c := caller.New()
	for i := range s.Count {
		q := s.request(i)
		q.OnFirstToken = func() { first <- struct{}{} }
		open.Go(func() { ended <- c.Do(ctx, q, time.Now()) })
	}
	h.await(ctx, s, first, ended)
	during, err := proc.ReadUsage(s.Pid)
	cancel()
	open.Wait()
	c.Close()
	h.During = during.Memory
	if h.Open > 0 {
		h.Each = (h.During - h.Before) / int64(h.Open)
	}
	return h, err
}

func (s *StreamsSetup) request(i int) caller.Request {
	p := newPlanner(Settings{
		Addresses:      []string{s.Address},
		Model:          s.Model,
		StreamFraction: 1,
		Seed:           uint64(i),
		Keys:           map[string]string{"workspace": s.Key},
		Kinds:          Kinds{{Name: s.Kind, Weight: 1, From: 1000, To: 1000, Output: s.Output}},
	})
	return p.next()
}

// await waits for the first token of every stream, then lets them settle.
func (h *StreamMemory) await(ctx context.Context, s StreamsSetup, first <-chan struct{}, ended <-chan caller.Result) {
	for h.Open < s.Count {
		select {
		case <-first:
			h.Open++
		case r := <-ended:
			h.Reason = string(r.Outcome) + ": " + r.ErrorKind + " " + r.Reason
			return
		case <-ctx.Done():
			return
		}
	}
	sleepUntil(ctx, time.Now().Add(s.Settle))
}
