package load

import (
	"context"
	"sync"
	"time"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/emulator/proc"
)

// StreamsSetup is the setup of a measurement of a daemon's memory with open streams.
type StreamsSetup struct {
	// Address is the host:port of the daemon, Pid its process ID.
	Address string
	Pid     int
	// Count is the number of streams that are open at the same time.
	Count int
	// Key, Model and Kind are the API key, model and request kind of all requests. Output is the
	// length of each answer in tokens, which must be so long that none ends during the measurement.
	Key, Model, Kind string
	Output           int
	// Settle is how long all streams are open before the measurement.
	Settle time.Duration
}

// StreamMemory is the result of the measurement: resident memory of the daemon in bytes.
type StreamMemory struct {
	// Open is the number of streams that have received their first token.
	Open int `json:"open"`
	// Before is the memory without streams, During with all of them open.
	Before int64 `json:"before"`
	During int64 `json:"during"`
	// Each is the difference divided by the number of open streams.
	Each int64 `json:"each"`
	// Reason is why a stream ended before the measurement. It is empty if none did.
	Reason string `json:"reason,omitempty"`
}

// MeasureStreams measures the daemon's memory, opens the streams, waits until each has received its
// first token and measures again. Then it closes the streams.
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

// await waits for the first token of every stream and then for the Settle time. It returns early if a
// stream or ctx ends.
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
