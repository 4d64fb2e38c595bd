package settings

import (
	"fmt"
	"os"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/strict"
)

// Relay are the settings of one VM in relay mode: it relays opaque requests on a platform that
// provides the configuration document and the list of upstreams.
type Relay struct {
	Name   peer.VM     `json:"name"`
	Domain peer.Domain `json:"domain"`
	// Caller is the listen address for requests, which the balancer forwards to it. Ready is the
	// listen address for the balancer's readiness check.
	Caller string `json:"caller"`
	Ready  string `json:"ready"`
	// Peer is the listen address for other daemons. Advertise is the address of it that other
	// daemons connect to; Peer is used where it is empty.
	Peer      string   `json:"peer"`
	Advertise string   `json:"advertise"`
	Metrics   string   `json:"metrics"`
	Store     string   `json:"store"`
	Peers     []string `json:"peers"`
	// First is true at the first start of all VMs of the deployment.
	First bool `json:"first"`
	// Spread makes owners that don't know all grants spread short requests over the upstreams.
	Spread bool `json:"spread"`
	// Memory is in megabytes.
	Memory int `json:"memory"`
	// Responses is the size of the largest response of a plain service, in megabytes.
	Responses int `json:"responses"`
	// Descriptors is the number of descriptors that the process may open, if that is less than the system's limit; zero
	// if it is not.
	Descriptors int `json:"descriptors"`
	// Cores is the VM's share of the processor, in cores. Link is the bandwidth of its network link,
	// in megabits per second. Both are zero if unknown. High-capacity VMs are preferred as those that
	// decide placements for all.
	Cores  float64 `json:"cores"`
	Link   float64 `json:"link"`
	Level  string  `json:"level"`
	Bounds Bounds  `json:"bounds"`
	Budget Budget  `json:"budget"`
	Shares Shares  `json:"shares"`
	// Bookings bounds the bookings of capacity for the retries of refused clients.
	Bookings Bookings `json:"bookings"`
	// Forecast sets how owners estimate waits.
	Forecast Forecast `json:"forecast"`
	// Locality sets whether owners place requests in the failure domain of their gate, and learn the pace of
	// engines.
	Locality Locality `json:"locality"`
	// Recovery sets how owners serve the clients that return after a loss of VMs.
	Recovery Recovery `json:"recovery"`
}

// Bookings bounds the bookings that the owner of a service makes.
type Bookings struct {
	// Horizon is how far ahead capacity is booked; zero for no bookings.
	Horizon clock.Milli `json:"horizon"`
	// Limit is the number of bookings that a service may have at a time.
	Limit int `json:"limit"`
}

// Forecast sets whether owners refuse requests by a forecast of their wait.
type Forecast struct {
	Enabled bool `json:"enabled"`
}

// Locality sets whether owners prefer upstreams in the failure domain of the gate, and learn how
// slowly upstreams work.
type Locality struct {
	Enabled bool `json:"enabled"`
}

// Recovery sets whether owners limit late requests after a loss of VMs.
type Recovery struct {
	Enabled bool `json:"enabled"`
}

// Bounds are times that the platform's operators promise to their users.
type Bounds struct {
	// Config is the time within which a new document is in force on all VMs.
	Config clock.Milli `json:"config"`
	// Revoke is the time within which a revoked key is refused on all VMs.
	Revoke clock.Milli `json:"revoke"`
	// Grace is the time between the signal to stop and the end of the process.
	Grace clock.Milli `json:"grace"`
	// Evacuation is the time within which all VMs stop sending to an evacuated failure domain; zero if
	// the deployment has no evacuations.
	Evacuation clock.Milli `json:"evacuation"`
}

// Budget bounds the retries of requests, that is, all sends after the first one of each request,
// over all VMs.
type Budget struct {
	// In each Window, the number of retries may be Share times the number of requests, plus Floor.
	Share  float64     `json:"share"`
	Floor  float64     `json:"floor"`
	Window clock.Milli `json:"window"`
}

// relayFields describes each field of Relay. The parser applies its bounds and defaults.
var relayFields = strict.Table{
	"name":              {Required: true, Description: "name of this VM"},
	"domain":            {Required: true, Min: 1, Max: maxNameLength, Description: "failure domain of this VM"},
	"caller":            {Required: true, Description: "listen address for clients, IP address and port"},
	"ready":             {Required: true, Description: "listen address for the balancer's readiness check, IP address and port"},
	"peer":              {Required: true, Description: "listen address for other daemons, IP address and port; the network between VMs is trusted"},
	"advertise":         {Description: "address that other daemons connect to, if it differs from peer"},
	"metrics":           {Description: "listen address for metrics and profiles (/debug/pprof/), IP address and port; not served if empty"},
	"store":             {Required: true, Description: "address of the platform's store, IP address and port"},
	"peers":             {Description: "addresses of peers to contact first"},
	"first":             {Description: "true at the first start of all VMs of the deployment, when there are no clients yet"},
	"spread":            {Description: "true if owners that do not know all grants, as during a partition, spread short requests over the upstreams by the age of load reports"},
	"memory":            {Unit: "megabytes", Min: 64, Max: 1 << 20, Default: 256, Description: "memory that the process may use"},
	"responses":         {Unit: "megabytes", Min: 1, Max: 1 << 10, Default: 8, Description: "largest response of a plain service that is passed on; a longer one has failed"},
	"descriptors":       {Min: 0, Max: 1 << 20, Description: "descriptors that the process may open, if fewer than the system allows; half of them are for connections of clients, three sixteenths for those of other VMs, a quarter, and what clients leave, for those to upstreams"},
	"cores":             {Min: 0, Max: 1024, Description: "the VM's share of the processor, in cores; VMs with the most are preferred as owners, and all VMs rank alike if it is not set"},
	"link":              {Unit: "megabits/s", Min: 0, Max: 1 << 20, Description: "bandwidth of the VM's network link; used together with cores"},
	"level":             {Enum: []string{"trace", "debug", "info", "warn", "error"}, Default: "info", Description: "lowest level of log lines that are written"},
	"bounds":            {Description: "times that the operators promise to their users"},
	"bounds.config":     {Unit: "milliseconds", Min: 1, Max: float64(maxGrace), Default: 2000, Description: "time within which a new document is in force on all VMs"},
	"bounds.revoke":     {Unit: "milliseconds", Min: 1, Max: float64(maxGrace), Default: 5000, Description: "time within which a revoked key is refused on all VMs"},
	"bounds.grace":      {Unit: "milliseconds", Min: 0, Max: float64(maxGrace), Default: 8000, Description: "time between the signal to stop and the end of the process"},
	"bounds.evacuation": {Unit: "milliseconds", Min: 0, Max: float64(maxGrace), Default: 0, Description: "time within which all VMs stop sending to an evacuated failure domain; evacuations are not read if it is 0"},
	"budget":            {Description: "bounds of retries, over all VMs"},
	"budget.share":      {Min: 0, Max: 1, Default: 0.2, Description: "retries per request"},
	"budget.floor":      {Min: 0, Max: 1 << 20, Default: 100, Description: "number of retries allowed in addition"},
	"budget.window":     {Unit: "milliseconds", Min: 1, Max: float64(maxGrace), Default: 10000, Description: "time over which requests and retries are counted"},
	"shares":            {Description: "division of scarce capacity among workspaces"},
	"shares.enabled":    {Description: "true to serve workspaces by their shares while capacity is scarce"},
	"shares.weights":    {Description: "weights of workspaces by name, above 0 and at most 1,000; 1 for those not listed"},
	"bookings":          {Description: "bookings of capacity for the retries of refused clients"},
	"bookings.horizon":  {Unit: "milliseconds", Min: 0, Max: 10_000, Default: 0, Description: "how far ahead capacity is booked; no bookings are made if it is 0"},
	"bookings.limit":    {Min: 1, Max: 4096, Default: 256, Description: "bookings that a service may have at a time"},
	"forecast":          {Description: "refusals by a forecast of the wait"},
	"forecast.enabled":  {Description: "refuse requests by a forecast of their wait from the work in progress, instead of by averages of the last seconds"},
	"locality":          {Description: "placement by failure domain"},
	"locality.enabled":  {Description: "place requests on upstreams in the failure domain of the VM that received them, while that costs no time, and learn the pace of engines from the times of requests"},
	"recovery":          {Description: "return of all clients after a loss of VMs"},
	"recovery.enabled":  {Description: "after a loss of VMs, place late requests only in the slots that requests in time leave, and use engines before they have reported"},
}

// ReadRelay reads a file and checks it.
func ReadRelay(path string) (*Relay, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return ParseRelay(b, path)
}

// ParseRelay parses text and checks it; name is the file name for error messages. The error is of
// type strict.Problems.
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
		checkAddress(src, a.field, a.address)
	}
	if s.Metrics != "" {
		checkAddress(src, "metrics", s.Metrics)
	}
	checkAdvertised(src, "advertise", s.Advertise, "peer", s.Peer)
	if s.Advertise == "" {
		s.Advertise = s.Peer
	}
	for i, a := range s.Peers {
		checkAddress(src, fmt.Sprintf("peers[%d]", i), a)
	}
	s.Shares.check(src)
}
