// Package ratelimit limits the rate of requests to an upstream to the limit that the upstream
// declares in its responses.
//
// It has no sockets, no goroutines and no clock.
package ratelimit
