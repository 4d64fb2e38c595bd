// Package blame decides which part of prompts crashes upstreams, from the crashes and the answers of all requests of a
// service: a query of death that is known by a part of it. Requests that hold a suspect part run one at a time, and those
// that hold a blamed part are refused.
//
// A Table uses no sockets, goroutines or clock: the time is an argument.
package blame

import (
	"strconv"

	"snipeshift.example/lib/clock"
)

// Part identifies a part of prompts, which many requests may share.
type Part uint64

// String returns the part in hexadecimal digits.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// ParsePart returns the part that String returned as text.
func ParsePart(text string) (Part, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Part(n), err
}

// Run identifies one send of a request, by the name of the send, or by its number.
type Run struct {
	Name   string
	Number uint64
}

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID string
	// Born is the start time of the incarnation; zero if unknown.
	Born int64
}

// ProveTime is how long an answer must last to acquit the parts of its prompt. A crash within that time of the first event
// still speaks against them.
const ProveTime = 250 * clock.Milli(1)

// Limits for blaming parts.
const (
	// crashesToBlame is the number of crashes from which a part is blamed, crashesToBlameFamiliar that of a part that
	// was answered shortly before.
	crashesToBlame, crashesToBlameFamiliar = 3, 4
	// unexplainedToBlame is how many of its crashes must have no other explanation before a part is blamed. Upstreams also
	// crash by themselves, so one such crash under a sound part is a coincidence.
	unexplainedToBlame = 2
	// maxCrashes is the number of crashes from which no trial of a blamed part is allowed.
	maxCrashes = 5
	// firstTrialPause is the time from the crash that settled the blame to a trial. It grows by trialPauseFactor with each
	// further crash.
	firstTrialPause  = clock.Minute
	trialPauseFactor = 5
	// familiarTime is how long before its first crash an answer on a part makes the part familiar.
	familiarTime = 10 * clock.Minute
	// retention is how long a part is remembered after its last crash, or after the last request that was refused for
	// it: longer than clients repeat a failed request.
	retention = 30 * clock.Minute
	// sameCrashTime is the time after a crash in which reports on the same upstream, of unknown incarnation, mean
	// that crash.
	sameCrashTime = 2 * clock.Second
	// Bounds of the table.
	maxRecords, maxSuspects, maxAnswered = 256, 1024, 1 << 15
)

// MaxParts is the largest number of parts of one request that a Table takes.
const MaxParts = 64
