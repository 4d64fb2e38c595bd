// Package locality decides whether a request runs in the failure domain of its gate, and learns how
// slowly upstreams work.
//
// The load addressed: some failure domains have more demand than engines, others have more engines
// than demand, and bytes between failure domains are billed. A request runs in the domain of its
// gate, its home domain, while that costs no time.
//
// The package uses no sockets, goroutines or clock: the time is an argument.
package locality

import "snipeshift.example/lib/route"

// plainMargin is by how much of its slots an upstream of the home domain may be more loaded than one
// elsewhere and still be chosen.
const plainMargin = 0.25

// groupAimShare is the share of the time left until the aim within which a group of engines in the
// home domain must be expected to give the first byte, if a larger group is free in all domains
// together. The remaining time covers errors of the expectation.
const groupAimShare = 0.5

// StaysHome reports whether a request of a plain service is placed on the least loaded upstream of
// its home domain. The arguments are the shares of occupied slots of that upstream and of the least
// loaded one elsewhere.
func StaysHome(home, elsewhere float64) bool { return home-elsewhere < plainMargin }

// GroupStaysHome reports whether a long prompt is spread over engines of its home domain although
// more engines would be free in all domains together. The arguments are the expected time to the
// first byte in the home domain and the time left until the aim, in milliseconds.
func GroupStaysHome(first, left float64) bool { return first <= groupAimShare*left }

// HomeFirst returns upstreams reordered so that those of the home domain come first. The order is
// otherwise unchanged.
func HomeFirst[U any](us []U, home route.Domain, domain func(U) route.Domain) []U {
	out := make([]U, 0, len(us))
	for _, u := range us {
		if domain(u) == home {
			out = append(out, u)
		}
	}
	for _, u := range us {
		if domain(u) != home {
			out = append(out, u)
		}
	}
	return out
}

// Counts are the numbers of grants that run in the home domain only, and of all others. Grants of
// requests whose home domain is unknown are not counted.
type Counts struct{ Home, Away uint64 }

// Add counts a grant.
func (c *Counts) Add(home bool) {
	if home {
		c.Home++
		return
	}
	c.Away++
}
