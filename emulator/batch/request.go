package batch

import (
	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

// Outcome is how a request stands in the ledger.
type Outcome string

// The outcomes.
const (
	Queued   Outcome = "queued"
	Running  Outcome = "running"
	Done     Outcome = "done"
	Canceled Outcome = "canceled" // deleted, or its reader left and did not come back
	Crashed  Outcome = "crashed"  // it killed the process
)

// Entry is one request in the ledger.
type Entry struct {
	ID decide.RequestID `json:"id"`
	// Key, Grant and Group are the headers Idempotency-Key, X-Grant and X-Group.
	Key      string `json:"key"`
	Grant    string `json:"grant"`
	Group    string `json:"group"`
	Priority int    `json:"priority"`
	// Arrived, Started, First and Finished are instants in milliseconds, zero if not reached;
	// Started is when it took its slot and memory, First when its first token was made.
	Arrived    clock.Milli `json:"arrived"`
	Started    clock.Milli `json:"started"`
	FirstToken clock.Milli `json:"first"`
	Finished   clock.Milli `json:"finished"`
	// Hash is xxhash64 of the prompt in hexadecimal, Text its first bytes.
	Hash string `json:"hash"`
	Text string `json:"text"`
	// Prompt, Cached, Output and Reserved count tokens; Output those made so far.
	Prompt   decide.Tokens `json:"prompt"`
	Cached   decide.Tokens `json:"cached"`
	Output   decide.Tokens `json:"output"`
	Reserved decide.Tokens `json:"reserved"`
	Outcome  Outcome       `json:"outcome"`
}

// Request is one generation, from its arrival until Keep after its end.
type Request struct {
	Entry *Entry
	// Chat tells which of the API's two calls it came by, Model what it named.
	Chat   bool
	Model  string
	Prompt string
	// Seed determines the answer.
	Seed   expect.Seed
	Levels []kv.Level
	// Limit is the number of output tokens; the stream has one event more, which carries the usage.
	Limit int
	// Events holds the instant at which each event was made.
	Events []clock.Milli
	// Ended is set once no further event will be made.
	Ended bool
	// Readers counts open streams; Left is when the last one closed early.
	Readers    int
	LastClosed clock.Milli
	// Delivered is set once a reader got the end mark, or nobody will come for it.
	Delivered bool
	// Changed is closed and replaced with every event and at the end.
	Changed chan struct{}

	// filled counts prompt tokens in memory, cached ones included.
	filled decide.Tokens
}

// ID is the request's id.
func (q *Request) ID() decide.RequestID { return q.Entry.ID }

// Size is how many tokens of the request are in memory.
func (q *Request) Size() decide.Tokens { return q.filled + q.Entry.Output }

// wake lets its readers look again.
func (q *Request) wake() {
	close(q.Changed)
	q.Changed = make(chan struct{})
}
