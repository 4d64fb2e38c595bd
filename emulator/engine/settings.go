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
	// Output is the answer's length in tokens where a request names no limit.
	Output int `json:"output"`
	// Lag is the age of load reports, in milliseconds.
	Lag clock.Milli `json:"lag"`
	// Late is the age of the newest cache event shown, in milliseconds.
	Late clock.Milli `json:"late"`
	// Gap is the part of cache events that is lost, 0 to 1.
	Gap float64 `json:"gap"`
	// Seed makes the choice of lost events repeatable.
	Seed uint64 `json:"seed"`
	// Keep is how long a finished stream can be resumed, in milliseconds.
	Keep clock.Milli `json:"keep"`
	// Orphan is how long a request runs on without a reader, in milliseconds;
	// negative lets it end and then holds its memory until it is deleted.
	Orphan clock.Milli `json:"orphan"`
	// Fenced refuses orders with an old fencing number.
	Fenced bool `json:"fenced"`
	// Role is its first role: "short", "long" or "any".
	Role string `json:"role"`
	// Notice is how long it still takes work after SIGTERM, in milliseconds.
	Notice clock.Milli `json:"notice"`
	// Drain bounds the wait for running work after the notice, in milliseconds.
	Drain clock.Milli `json:"drain"`
	// Body is the largest body in bytes.
	Body int64 `json:"body"`
	// Ledger is a file that gets every entry as a line of JSON, so that the record survives a kill; empty for none.
	Ledger string `json:"ledger"`
}

// Defaults are a small engine that is quick enough for tests.
func Defaults() Settings {
	return Settings{
		Name:    "engine",
		Slots:   16,
		Memory:  400_000,
		Prefill: 200_000,
		Decode:  200,
		Chunk:   2048,
		Output:  expect.DefaultTokens,
		Lag:     250,
		Late:    500,
		Gap:     0.02,
		Seed:    1,
		Keep:    10 * clock.Second,
		Orphan:  10 * clock.Second,
		Role:    "any",
		Notice:  clock.Second,
		Drain:   30 * clock.Second,
		Body:    16 << 20,
	}
}

func (s *Settings) batch() batch.Settings {
	return batch.Settings{
		Slots:   s.Slots,
		Prefill: s.Prefill,
		Decode:  s.Decode,
		Chunk:   s.Chunk,
		Keep:    s.Keep,
		Orphan:  s.Orphan,
	}
}

// Control is what a test tells the engine to do wrong. A field that is absent
// from a message keeps its value.
type Control struct {
	// Match limits stall, truncate, cross, duplicate and late to prompts that contain it.
	Match string `json:"match"`
	// Slow multiplies the duration of every step; zero or one is full speed.
	Slow float64 `json:"slow"`
	// Stall stops sending on open streams and keeps their connections.
	Stall bool `json:"stall"`
	// Truncate cuts streams after so many events, without an end mark; zero is off.
	Truncate int `json:"truncate"`
	// Clean ends a truncated stream as if it were whole for HTTP, in place of a broken connection.
	Clean bool `json:"clean"`
	// Cross sends chunks of another request: its id, and its text if it is here.
	Cross bool `json:"cross"`
	// From is the number of the first event that cross and duplicate concern.
	From int `json:"from"`
	// Die lets the next N requests run and closes their connections without an answer.
	Die int `json:"die"`
	// Duplicate sends every event so many more times.
	Duplicate int `json:"duplicate"`
	// Late sends every event so long after it was made, in milliseconds.
	Late clock.Milli `json:"late"`
	// Crash kills the process when a request whose prompt contains it starts to run; empty is off.
	Crash string `json:"crash"`
	// Refuse answers 503 to new requests, which then do not run.
	Refuse bool `json:"refuse"`
	// Mute reads every call but /control and /ledger and answers nothing.
	Mute bool `json:"mute"`
	// Lose drops the next N DELETE calls without effect and closes their connections.
	Lose int `json:"lose"`
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
