// Package gate makes the decisions of a gate, the VM that holds the client's connection of a
// request: whether a failed request may be retried, whether a request is quarantined, and whether
// its workspace is within its rate.
//
// Like package decide it has no sockets, no goroutines and no wall clock. The caller does all
// locking.
package gate
