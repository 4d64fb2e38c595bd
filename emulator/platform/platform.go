// Package platform emulates the object store and the list of VMs of the platform on which the daemons
// run. Changes of the VM list become visible with a delay, and tests can inject the failures of the
// real platform.
package platform

import (
	"net/http"
	"sync"

	"snipeshift.example/lib/clock"
)

// Platform is the emulated platform. It is an http.Handler.
type Platform struct {
	settings Settings
	clock    *clock.Clock
	mux      *http.ServeMux

	mu      sync.Mutex
	table   table
	control Control
	// staleUntil is the time until which reads return the previous version of each object.
	staleUntil clock.Milli
	calls      Calls
	writes     tokenBucket
	reads      tokenBucket
	// vms holds the visible VM list, followed by newer lists that are not yet visible.
	vms []vmList
	// changed is closed and replaced after each write and control call, to wake blocked calls.
	changed chan struct{}
}

// Calls counts the calls to the store since its start, including those over the rate limits.
type Calls struct {
	// At is the time of the count on the emulator's clock, in milliseconds.
	At clock.Milli `json:"at"`
	// Reads counts gets, lists and reads of the VM list. Watches counts long polls, each once.
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	// Waiting is the number of open watches.
	Waiting int `json:"waiting"`
	// Refused counts calls that were rejected because of the rate limits.
	Refused int `json:"refused"`
	// Kinds counts reads, watches and writes together by kind of object, "vms" for the VM list.
	Kinds map[string]int `json:"kinds"`
}

// VM is one entry of the list of VMs.
type VM struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// vmList is a version of the list of VMs and the time at which it was set.
type vmList struct {
	setAt clock.Milli
	vms   []VM
}

// New returns a platform with an empty store and an empty VM list.
func New(s Settings, c *clock.Clock) *Platform {
	p := &Platform{
		settings: s,
		clock:    c,
		table:    table{objects: map[key]*object{}},
		control:  Control{Lag: s.Lag},
		calls:    Calls{Kinds: map[string]int{}},
		writes:   tokenBucket{rate: s.Writes},
		reads:    tokenBucket{rate: s.Reads},
		changed:  make(chan struct{}),
	}
	p.route()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// wakeWaiters wakes the calls that wait for a change. The caller holds mu.
func (p *Platform) wakeWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// stale reports whether reads return the previous version. The caller holds mu.
func (p *Platform) stale() bool { return p.clock.Now() < p.staleUntil }

// tokenBucket limits calls to a rate per second, and allows bursts of as many calls as in one second.
// A rate of zero is no limit.
type tokenBucket struct {
	rate    int
	tokens  float64
	updated clock.Milli
}

func (b *tokenBucket) take(now clock.Milli) bool {
	if b.rate == 0 {
		return true
	}
	if b.updated == 0 {
		b.tokens = float64(b.rate)
	} else {
		b.tokens += float64(now-b.updated) * float64(b.rate) / float64(clock.Second)
	}
	b.updated = now
	b.tokens = min(b.tokens, float64(b.rate))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
