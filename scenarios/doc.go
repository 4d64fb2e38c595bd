// Package scenarios holds end-to-end tests that run daemons and emulated upstreams as separate processes: one script
// for each guarantee, under testdata/scripts, the chaos and soak runs with random faults, and tests of a fleet of VMs
// on an emulated platform.
//
// In all of these the gate is the VM that holds the client's connection of a request, the owner the VM that queues and
// places the requests of a pool (the upstreams of one model or service), and the holder of a service its current owner.
package scenarios
