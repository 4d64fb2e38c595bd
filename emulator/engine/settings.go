package engine

import (
	"snipeshift.example/emulator/batch"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

// Settings of an emulated engine.
type Settings struct {
	// Name is the name of the upstream. Export handles begin with it.
	Name string `json:"name"`
	// Model is the model that the engine serves. If it is empty, the engine serves every model.
	Model string `json:"model"`
	// Slots is the maximum number of running requests.
	Slots int `json:"slots"`
	// Memory is the KV memory in tokens.
	Memory decide.Tokens `json:"memory"`
	// Prefill is the prefill throughput of the engine, in prompt tokens per second.
	Prefill decide.Rate `json:"prefill"`
	// Decode is the number of output tokens per second of each request while no prompt is prefilled.
	Decode decide.Rate `json:"decode"`
	// Chunk is the maximum number of prompt tokens that one step prefills. The prefill lengthens
	// the step and so delays the next token of every running request.
	Chunk decide.Tokens `json:"chunk"`
	// DefaultOutput is the length of an answer in tokens if the request has no limit.
	DefaultOutput int `json:"output"`
	// ReportDelay is the minimum age of a load report when it is returned, in milliseconds.
	ReportDelay clock.Milli `json:"lag"`
	// EventDelay is the minimum age of a cache event when it is returned, in milliseconds.
	EventDelay clock.Milli `json:"late"`
	// EventLoss is the fraction of cache events that are lost, 0 to 1.
	EventLoss float64 `json:"gap"`
	// Seed of the random choice of lost events, to make it reproducible.
	Seed uint64 `json:"seed"`
	// Retention is how long a stream can be resumed after the request has ended, in milliseconds.
	Retention clock.Milli `json:"keep"`
	// OrphanTimeout is how long a request without a reader runs before it is canceled, in
	// milliseconds. If it is negative, the request runs to its end and retains its memory until it
	// is deleted.
	OrphanTimeout clock.Milli `json:"orphan"`
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool `json:"fenced"`
	// Role is the initial role of the engine: "short", "long" or "any".
	Role string `json:"role"`
	// NoticePeriod is how long the engine accepts requests after SIGTERM, in milliseconds.
	NoticePeriod clock.Milli `json:"notice"`
	// DrainTimeout limits the wait for running requests after the notice period, in milliseconds.
	DrainTimeout clock.Milli `json:"drain"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `json:"body"`
	// LedgerFile is a file to which every change of an entry is appended as a line of JSON, so that the
	// record survives a crash of the engine. If it is empty, no file is written.
	LedgerFile string `json:"ledger"`
}

// Defaults returns the settings of a small engine that is fast enough for tests.
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

// Control is the set of faults that a test injects, the body of POST /control. Fields that are absent
// from a body keep their values.
type Control struct {
	// Match limits Stall, Truncate, CleanEnd, Cross, Duplicate and SendDelay to requests whose
	// prompt contains this text.
	Match string `json:"match"`
	// Slowdown multiplies the duration of every step. Zero and one mean full speed.
	Slowdown float64 `json:"slow"`
	// Stall stops sending on open streams but leaves their connections open.
	Stall bool `json:"stall"`
	// Truncate ends streams without an end mark after this number of events. Zero disables it.
	Truncate int `json:"truncate"`
	// CleanEnd ends truncated streams as complete HTTP responses instead of aborting the connection.
	CleanEnd bool `json:"clean"`
	// Cross sends chunks with the ID and the text of another request. If the engine has no other
	// request, both are made up.
	Cross bool `json:"cross"`
	// FromEvent is the number of the first event that Cross and Duplicate apply to.
	FromEvent int `json:"from"`
	// DropAnswers is the number of following requests that run but whose connections are closed without a
	// response.
	DropAnswers int `json:"die"`
	// Duplicate is the number of additional copies that are sent of every event.
	Duplicate int `json:"duplicate"`
	// SendDelay is the delay between the production of an event and its sending, in milliseconds.
	SendDelay clock.Milli `json:"late"`
	// PoisonText ends the process when a request starts to run whose prompt contains this text. An empty
	// text disables it.
	PoisonText string `json:"crash"`
	// Refuse answers new requests with status 503 and does not run them.
	Refuse bool `json:"refuse"`
	// Mute accepts calls but does not respond to them, except to /control and /ledger.
	Mute bool `json:"mute"`
	// DropDeletes is the number of following DELETE calls that have no effect and whose connections
	// are closed without a response.
	DropDeletes int `json:"lose"`
	// Leaving is shown in load reports. Requests are still accepted, so that a test can detect who
	// still sends them.
	Leaving bool `json:"leaving"`
}

// faults holds the fields of Control that apply to one stream.
type faults struct {
	stall     bool
	truncate  int
	clean     bool
	cross     bool
	from      int
	duplicate int
	late      clock.Milli
}
