package batch

import (
	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

// Outcome is the state of a request in the ledger.
type Outcome string

// The states of a request. Done, Canceled and Crashed are final.
const (
	Queued   Outcome = "queued"
	Running  Outcome = "running"
	Done     Outcome = "done"
	Canceled Outcome = "canceled" // deleted, or its reader disconnected and did not return
	Crashed  Outcome = "crashed"  // the request crashed the engine
)

// Entry is the ledger's record of one request.
type Entry struct {
	ID decide.RequestID `json:"id"`
	// Key, Grant and Group are the values of the headers Idempotency-Key, X-Grant and X-Group.
	Key      string `json:"key"`
	Grant    string `json:"grant"`
	Group    string `json:"group"`
	Priority int    `json:"priority"`
	// Arrived, Started, First and Finished are times in milliseconds, zero if not reached. Started
	// is when the request received its slot and memory, FirstToken when its first token was produced.
	Arrived    clock.Milli `json:"arrived"`
	Started    clock.Milli `json:"started"`
	FirstToken clock.Milli `json:"first"`
	Finished   clock.Milli `json:"finished"`
	// Hash is the xxhash64 of the prompt in hexadecimal, Text the beginning of the prompt.
	Hash string `json:"hash"`
	Text string `json:"text"`
	// Prompt, Cached, Output and Reserved are numbers of tokens: of the prompt, of its cached
	// prefix, of the output produced so far, and of the reserved memory.
	Prompt   decide.Tokens `json:"prompt"`
	Cached   decide.Tokens `json:"cached"`
	Output   decide.Tokens `json:"output"`
	Reserved decide.Tokens `json:"reserved"`
	Outcome  Outcome       `json:"outcome"`
}

// Request is one generation. It is stored from its arrival until Settings.Retention after its end.
type Request struct {
	Entry *Entry
	// Chat is true for a chat completion and false for a text completion. Model is the requested model.
	Chat   bool
	Model  string
	Prompt string
	// Seed determines the text of the answer.
	Seed   expect.Seed
	Levels []kv.Level
	// Limit is the number of output tokens. The stream has one more event, with the usage.
	Limit int
	// Events holds the time at which each event was produced.
	Events []clock.Milli
	// Ended is set when no further event will be produced.
	Ended bool
	// Readers is the number of open streams. LastClosed is when a stream was last closed.
	Readers    int
	LastClosed clock.Milli
	// Delivered is set when a reader has received the end mark, or the request was canceled and no
	// reader will resume its stream.
	Delivered bool
	// Changed is closed and replaced at every event and when the request ends.
	Changed chan struct{}

	// prefilled is the number of prompt tokens in KV memory, including cached and imported ones.
	prefilled decide.Tokens
}

// ID returns the ID of the request.
func (q *Request) ID() decide.RequestID { return q.Entry.ID }

// Size returns the number of tokens of the request in KV memory: prefilled prompt and output.
func (q *Request) Size() decide.Tokens { return q.prefilled + q.Entry.Output }

// notify wakes the readers that wait for the next event.
func (q *Request) notify() {
	close(q.Changed)
	q.Changed = make(chan struct{})
}
