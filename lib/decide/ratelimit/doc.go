// Package ratelimit paces the requests that upstreams are given by the limits that they name.
//
// Nothing here has sockets, goroutines or a clock.
package ratelimit
