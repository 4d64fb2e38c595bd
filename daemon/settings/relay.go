package settings

import (
	"fmt"
	"os"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/strict"
)

// Relay are the settings of one VM that relays opaque requests on a platform
// which gives the document and the upstreams.
type Relay struct {
	Name   peer.VM     `json:"name"`
	Domain peer.Domain `json:"domain"`
	// Caller is where the balancer sends callers, Ready where it asks whether it may.
	Caller string `json:"caller"`
	Ready  string `json:"ready"`
	// Peer is where other daemons connect, Advertise the address of it that they are told.
	Peer      string   `json:"peer"`
	Advertise string   `json:"advertise"`
	Metrics   string   `json:"metrics"`
	Store     string   `json:"store"`
	Peers     []string `json:"peers"`
	// First is set at the first start of all VMs of the deployment.
	First bool `json:"first"`
	// Memory is in megabytes.
	Memory int `json:"memory"`
	// Cores is the VM's share of the processor in cores, Link its network link in megabits a second. VMs with more of
	// both decide for others; zero where nobody says.
	Cores  float64 `json:"cores"`
	Link   float64 `json:"link"`
	Level  string  `json:"level"`
	Bounds Bounds  `json:"bounds"`
	Budget Budget  `json:"budget"`
}

// Bounds are what the platform's operators promise their users.
type Bounds struct {
	// Config is the time within which a document is in force.
	Config clock.Milli `json:"config"`
	// Revoke is the time within which a withdrawn key is refused.
	Revoke clock.Milli `json:"revoke"`
	// Grace is the time between the word to stop and the end of the process.
	Grace clock.Milli `json:"grace"`
}

// Budget bounds the sends beyond the first of each request, over all VMs.
type Budget struct {
	// Share is the part of the requests that may be sent again, Floor how many
	// more, within Window.
	Share  float64     `json:"share"`
	Floor  float64     `json:"floor"`
	Window clock.Milli `json:"window"`
}

var relayFields = strict.Table{
	"name":          {Required: true, Description: "name of this VM"},
	"domain":        {Required: true, Min: 1, Max: maxName, Description: "failure domain of this VM"},
	"caller":        {Required: true, Description: "where callers connect, IP number and port"},
	"ready":         {Required: true, Description: "where the balancer asks whether this VM takes callers, IP number and port"},
	"peer":          {Required: true, Description: "where other daemons connect, IP number and port; the network between VMs is trusted"},
	"advertise":     {Description: "what other daemons connect to, where it differs from peer"},
	"metrics":       {Description: "where metrics and profiles (/debug/pprof/) are served, IP number and port; empty for nowhere"},
	"store":         {Required: true, Description: "the platform's store, IP number and port"},
	"peers":         {Description: "peers to try first"},
	"first":         {Description: "true at the first start of all VMs of the deployment, when no caller is there yet"},
	"memory":        {Unit: "megabytes", Min: 64, Max: 1 << 20, Default: 256, Description: "memory that the process may use"},
	"cores":         {Min: 0, Max: 1024, Description: "the VM's share of the processor, in cores; those with the most decide for others, where nobody says all alike"},
	"link":          {Unit: "megabits/s", Min: 0, Max: 1 << 20, Description: "the VM's network link; goes with cores"},
	"level":         {Enum: []string{"trace", "debug", "info", "warn", "error"}, Default: "info", Description: "lowest level of log lines"},
	"bounds":        {Description: "what the operators promise"},
	"bounds.config": {Unit: "milliseconds", Min: 1, Max: float64(maxGrace), Default: 2000, Description: "time within which a document is in force"},
	"bounds.revoke": {Unit: "milliseconds", Min: 1, Max: float64(maxGrace), Default: 5000, Description: "time within which a withdrawn key is refused"},
	"bounds.grace":  {Unit: "milliseconds", Min: 0, Max: float64(maxGrace), Default: 8000, Description: "time between the word to stop and the end of the process"},
	"budget":        {Description: "bounds of what is sent again, over all VMs"},
	"budget.share":  {Min: 0, Max: 1, Default: 0.2, Description: "part of the requests that may be sent again"},
	"budget.floor":  {Min: 0, Max: 1 << 20, Default: 100, Description: "how many more may be sent again"},
	"budget.window": {Unit: "milliseconds", Min: 1, Max: float64(maxGrace), Default: 10000, Description: "time over which both count"},
}

// ReadRelay reads a file and checks it.
func ReadRelay(path string) (*Relay, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return ParseRelay(b, path)
}

// ParseRelay reads text and checks it. The error is strict.Problems.
func ParseRelay(text []byte, name string) (*Relay, error) {
	s := &Relay{}
	src := strict.Read(text, name, s, relayFields)
	if !src.HasProblem("") {
		s.check(src)
	}
	if err := src.Problems().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Relay) check(src *strict.Source) {
	if !vmName.MatchString(string(s.Name)) && !src.HasProblem("name") {
		src.AddProblem("name", "use 1 to 63 lower-case letters, digits and dashes, such as vm-1")
	}
	for _, a := range []struct{ field, address string }{
		{"caller", s.Caller}, {"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store},
	} {
		address(src, a.field, a.address)
	}
	if s.Metrics != "" {
		address(src, "metrics", s.Metrics)
	}
	advertised(src, "advertise", s.Advertise, "peer", s.Peer)
	if s.Advertise == "" {
		s.Advertise = s.Peer
	}
	for i, a := range s.Peers {
		address(src, fmt.Sprintf("peers[%d]", i), a)
	}
}
