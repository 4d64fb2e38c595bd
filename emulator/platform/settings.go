package platform

import "snipeshift.example/lib/clock"

// Settings are the settings of the emulated platform.
type Settings struct {
	// Writes and Reads limit the calls per second; calls over the limit get status 429. Zero is
	// no limit. Reads include watches.
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
	// Lag is the delay after which a change of the VM list becomes visible, in milliseconds.
	Lag clock.Milli `json:"lag"`
	// Limit is the maximum size of an object's value in bytes.
	Limit int `json:"limit"`
}

// Defaults returns the known limits of the real platform's object store and the lag of its VM list.
func Defaults() Settings {
	return Settings{Writes: 500, Reads: 2000, Lag: 3 * clock.Second, Limit: 1 << 20}
}

// Outage is the kind of an outage of the platform.
type Outage string

// The kinds of outages.
const (
	Up     Outage = ""       // no outage
	Refuse Outage = "refuse" // every connection is reset
	Hang   Outage = "hang"   // requests are read and get no response until the outage ends
)

// Control sets the failures that the platform emulates. A field that is absent from a control call
// keeps its value, except Stale.
type Control struct {
	Outage Outage `json:"outage"`
	// Slow delays every call before it is processed, in milliseconds.
	Slow clock.Milli `json:"slow"`
	// Lose is the number of following writes that take effect but whose connections are reset
	// without a response.
	Lose int `json:"lose"`
	// Stale is a duration from now, in milliseconds, in which reads, lists and watches return
	// the previous version of each object.
	Stale clock.Milli `json:"stale"`
	// Deadwatch leaves every watch open without a response.
	Deadwatch bool `json:"deadwatch"`
	// Lag replaces Settings.Lag, in milliseconds.
	Lag clock.Milli `json:"lag"`
}
