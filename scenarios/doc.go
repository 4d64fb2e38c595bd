// Package scenarios holds end-to-end tests that run daemons and emulated upstreams as separate processes: one script
// for each guarantee, under testdata/scripts, the chaos and soak runs with random faults, and tests of a fleet of VMs
// on an emulated platform.
package scenarios
