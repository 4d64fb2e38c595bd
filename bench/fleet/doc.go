// Package fleet simulates the heartbeats of a fleet of VMs in simulated time: the real tables of members,
// with a network that delays and loses messages, VMs that lose power, freeze and restart, and links that
// are cut in one direction. It shows what a VM sends, and how long all VMs need to agree, for fleets that
// are larger than one machine can run.
//
// Messages are sized as net/rpc with gob encodes them, including what gob sends on each new connection.
package fleet
