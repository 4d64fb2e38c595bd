// Package engine is the client of model engines: generation streams, cancellation, load reports, cache
// events and orders. docs/DESIGN.md describes the protocol.
package engine
