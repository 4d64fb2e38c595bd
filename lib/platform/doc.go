// Package platform is a client of the platform's object store and VM list.
//
// It never retries a write by itself. If the response to a write is lost, the call returns
// ErrUnknown. The caller can then read the object back, or repeat a conditional write, which the
// store applies at most once.
package platform
