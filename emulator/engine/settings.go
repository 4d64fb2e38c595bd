package engine

import (
	"snipeshift.example/emulator/batch"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

// Settings of the stand-in.
type Settings struct {
	// Name is the upstream's; it starts every export handle.
	Name string `json:"name"`
	// Model is the model it serves; empty serves any.
	Model string `json:"model"`
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// Memory is KV memory in tokens.
	Memory decide.Tokens `json:"memory"`
	// Prefill is prompt tokens per second of the engine.
	Prefill decide.Rate `json:"prefill"`
	// Decode is output tokens per second of one request while nothing prefills.
	Decode decide.Rate `json:"decode"`
	// Chunk is the most prompt tokens that one step prefills; the step, and with
	// it the next token of every running request, takes that much longer.
	Chunk decide.Tokens `json:"chunk"`
	// DefaultOutput is the answer's length in tokens where a request names no limit.
	DefaultOutput int `json:"output"`
	// ReportDelay is the age of load reports, in milliseconds.
	ReportDelay clock.Milli `json:"lag"`
	// EventDelay is the age of the newest cache event shown, in milliseconds.
	EventDelay clock.Milli `json:"late"`
	// EventLoss is the part of cache events that is lost, 0 to 1.
	EventLoss float64 `json:"gap"`
	// Seed makes the choice of lost events repeatable.
	Seed uint64 `json:"seed"`
	// Retention is how long a finished stream can be resumed, in milliseconds.
	Retention clock.Milli `json:"keep"`
	// OrphanTimeout is how long a request runs on without a reader, in milliseconds;
	// negative lets it end and then holds its memory until it is deleted.
	OrphanTimeout clock.Milli `json:"orphan"`
	// CheckFence refuses orders with an old fencing number.
	CheckFence bool `json:"fenced"`
	// Role is its first role: "short", "long" or "any".
	Role string `json:"role"`
	// NoticePeriod is how long it still takes work after SIGTERM, in milliseconds.
	NoticePeriod clock.Milli `json:"notice"`
	// DrainTimeout bounds the wait for running work after the notice, in milliseconds.
	DrainTimeout clock.Milli `json:"drain"`
	// MaxBody is the largest body in bytes.
	MaxBody int64 `json:"body"`
	// LedgerFile is a file that gets every entry as a line of JSON, so that the record survives a kill; empty for none.
	LedgerFile string `json:"ledger"`
}

// Defaults are a small engine that is quick enough for tests.
func Defaults() Settings {
	return Settings{
		Name:          "engine",
		Slots:         16,
		Memory:        400_000,
		Prefill:       200_000,
		Decode:        200,
		Chunk:         2048,
		DefaultOutput: expect.DefaultTokens,
		ReportDelay:   250,
		EventDelay:    500,
		EventLoss:     0.02,
		Seed:          1,
		Retention:     10 * clock.Second,
		OrphanTimeout: 10 * clock.Second,
		Role:          "any",
		NoticePeriod:  clock.Second,
		DrainTimeout:  30 * clock.Second,
		MaxBody:       16 << 20,
	}
}

func (s *Settings) batch() batch.Settings {
	return batch.Settings{
		Slots:         s.Slots,
		Prefill:       s.Prefill,
		Decode:        s.Decode,
		Chunk:         s.Chunk,
		Retention:     s.Retention,
		OrphanTimeout: s.OrphanTimeout,
	}
}

// Control is what a test tells the engine to do wrong. A field that is absent
// from a message keeps its value.
type Control struct {
	// Match limits stall, truncate, cross, duplicate and late to prompts that contain it.
	Match string `json:"match"`
	// Slowdown multiplies the duration of every step; zero or one is full speed.
	Slowdown float64 `json:"slow"`
	// Stall stops sending on open streams and keeps their connections.
	Stall bool `json:"stall"`
	// Truncate cuts streams after so many events, without an end mark; zero is off.
	Truncate int `json:"truncate"`
	// CleanEnd ends a truncated stream as if it were whole for HTTP, in place of a broken connection.
	CleanEnd bool `json:"clean"`
	// Cross sends chunks of another request: its id, and its text if it is here.
	Cross bool `json:"cross"`
	// FromEvent is the number of the first event that cross and duplicate concern.
	FromEvent int `json:"from"`
	// DropAnswers lets the next N requests run and closes their connections without an answer.
	DropAnswers int `json:"die"`
	// Duplicate sends every event so many more times.
	Duplicate int `json:"duplicate"`
	// SendDelay sends every event so long after it was made, in milliseconds.
	SendDelay clock.Milli `json:"late"`
	// PoisonText kills the process when a request whose prompt contains it starts to run; empty is off.
	PoisonText string `json:"crash"`
	// Refuse answers 503 to new requests, which then do not run.
	Refuse bool `json:"refuse"`
	// Mute reads every call but /control and /ledger and answers nothing.
	Mute bool `json:"mute"`
	// DropDeletes drops the next N DELETE calls without effect and closes their connections.
	DropDeletes int `json:"lose"`
	// Leaving shows in load reports; work is still taken, so that a test sees who sends it.
	Leaving bool `json:"leaving"`
}

// faults are the parts of Control that concern one stream.
type faults struct {
	stall     bool
	truncate  int
	clean     bool
	cross     bool
	from      int
	duplicate int
	late      clock.Milli
}
