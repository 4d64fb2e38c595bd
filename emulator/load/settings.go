// Package load plays the callers: it sends a repeatable mix of requests to the
// daemons, checks every answer against what its prompt calls for, and measures.
package load

import (
	"errors"
	"fmt"
	"slices"

	"snipeshift.example/emulator/local"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

// Settings of a run.
type Settings struct {
	// Addresses are host:port of the daemons; each request goes to one of them.
	Addresses []string `json:"addresses"`
	// Operators are the daemons' operator addresses in the same order; with them
	// the balancer's stand-in sends requests only to daemons that say they are ready.
	Operators []string `json:"operators"`
	// Rate is requests per second, sent whether or not earlier ones are answered;
	// zero sends the next once one of Callers is free.
	Rate float64 `json:"rate"`
	// MaxOpen is the most requests open at once.
	MaxOpen int `json:"callers"`
	// Count ends the run after so many requests, Span after so many milliseconds; zero is no limit.
	Count   int         `json:"count"`
	RunTime clock.Milli `json:"span"`
	// Seed determines every request, its time and its address.
	Seed uint64 `json:"seed"`
	// Model is the model that requests name.
	Model string `json:"model"`
	// StreamFraction is the part of model requests that ask for a stream, 0 to 1.
	StreamFraction float64 `json:"stream"`
	// SharedFraction is the part of each prompt that other prompts of the same kind and workspace begin with too, 0 to 1.
	SharedFraction float64 `json:"shared"`
	// LongFraction is the part of requests that are of a long kind and take their length from LongFrom to LongTo tokens, 0 to 1.
	LongFraction float64 `json:"long"`
	LongFrom     int     `json:"longfrom"`
	LongTo       int     `json:"longto"`
	// Keys are the API keys by workspace.
	Keys map[string]string `json:"keys"`
	// Shares are the workspaces' shares of the requests relative to each other; one that is not named has 1.
	Shares map[string]float64 `json:"shares"`
	// Burst multiplies the rate during the first fifth of every Period, in milliseconds; zero for a steady rate.
	Burst  float64     `json:"burst"`
	Period clock.Milli `json:"period"`
	// Retries is how often a caller comes back after a refusal that did not run and says when to.
	Retries int `json:"retries"`
	// Kinds is the mix.
	Kinds Kinds `json:"kinds"`
	// Slack is how long after its allowed time a request is still waited for, in milliseconds.
	Slack clock.Milli `json:"slack"`
	// Direct speaks to an engine or a service itself in place of a daemon.
	Direct bool `json:"direct"`
}

// Kinds is a mix. One that is read replaces the one before whole.
type Kinds []Kind

// UnmarshalJSON implements json.Unmarshaler: the standard library would keep
// fields of the earlier elements that the new ones leave out.
func (ks *Kinds) UnmarshalJSON(text []byte) error {
	var fresh []Kind
	if err := settings.Parse(text, &fresh); err != nil {
		return err
	}
	*ks = fresh
	return nil
}

// Kind is one kind of request in the mix.
type Kind struct {
	Name string `json:"name"`
	// Weight is its share of the requests, relative to the other kinds.
	Weight float64 `json:"weight"`
	// Service routes it to a plain service; empty for the model.
	Service string `json:"service"`
	// From and To bound the prompt in tokens; the body, for a service.
	From int `json:"from"`
	To   int `json:"to"`
	// Output is the answer's length in tokens.
	Output int `json:"output"`
	// Once gives every request an idempotency key of its own.
	Once bool `json:"once"`
	// Long kinds are those that the settings' Long concerns.
	Long bool `json:"long"`
	// Allowed is how long the caller waits, in milliseconds.
	Allowed clock.Milli `json:"allowed"`
	// Deadline sends Allowed along as the request's deadline.
	Deadline bool `json:"deadline"`
	// Pause is how long the caller stops after each event it reads, in milliseconds.
	Pause clock.Milli `json:"pause"`
}

// Defaults are a mix for one of the example deployments: prompts from a
// thousand tokens to a million, one in fifty over a hundred thousand.
func Defaults(d local.Deployment) (Settings, error) {
	doc, err := local.Example(d)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Rate:           20,
		MaxOpen:        2000,
		RunTime:        10 * clock.Second,
		Seed:           1,
		Model:          doc.Models[0].Name,
		StreamFraction: 0.8,
		SharedFraction: 0.5,
		LongFraction:   0.02,
		LongFrom:       100_000,
		LongTo:         1_000_000,
		Keys:           map[string]string{},
		Shares:         map[string]float64{},
		Slack:          2 * clock.Second,
	}
	for _, w := range doc.Workspaces {
		if len(w.Kinds) == 0 {
			s.Keys[w.Name] = local.APIKey(w.Name)
			s.Shares[w.Name] = w.Weight
		}
	}
	s.Kinds = slices.Clone(mixes[d])
	for i, k := range s.Kinds {
		for _, c := range doc.Kinds {
			if c.Name == k.Name {
				s.Kinds[i].Allowed, s.Kinds[i].Once = c.TimeLimit, !c.Repeatable
			}
		}
	}
	return s, nil
}

// mixes are the shares and lengths of the deployments' kinds.
var mixes = map[local.Deployment]Kinds{
	local.Directorate: {
		{Name: "ward-notice", Weight: 50, From: 1000, To: 4000, Output: 32},
		{Name: "alert-lookup", Weight: 30, Service: "alert-desk", From: 20, To: 200},
		{Name: "sms-notice", Weight: 5, From: 1000, To: 1500, Output: 16},
		{Name: "lab-summary", Weight: 13, From: 4000, To: 32_000, Output: 32},
		{Name: "dossier-review", Weight: 0, From: 100_000, To: 1_000_000, Output: 64, Long: true},
	},
	local.Indus: {
		{Name: "session-summary", Weight: 40, From: 1000, To: 8000, Output: 32},
		{Name: "record-lookup", Weight: 30, Service: "licence-records", From: 20, To: 200},
		{Name: "certificate-check", Weight: 10, Service: "licence-records", From: 20, To: 200},
		{Name: "batch-review", Weight: 18, From: 8000, To: 64_000, Output: 32},
		{Name: "depot-audit", Weight: 0, From: 100_000, To: 1_000_000, Output: 64, Long: true},
	},
}

// check refuses settings that cannot run.
func (s *Settings) check() error {
	switch {
	case len(s.Addresses) == 0:
		return errors.New("no addresses")
	case len(s.Operators) > 0 && len(s.Operators) != len(s.Addresses):
		return errors.New("operators and addresses differ in number")
	case len(s.Keys) == 0:
		return errors.New("no keys")
	case len(s.Kinds) == 0:
		return errors.New("no kinds")
	case s.MaxOpen <= 0:
		return errors.New("callers is below 1")
	case s.Rate < 0 || s.Count < 0 || s.RunTime < 0:
		return errors.New("rate, count or span is negative")
	case s.Burst < 0 || s.Period < 0 || s.Burst > 0 && s.Period == 0:
		return errors.New("a burst needs a period")
	case s.Rate == 0 && s.Count == 0 && s.RunTime == 0:
		return errors.New("a run needs a count or a span")
	}
	for _, k := range s.Kinds {
		if k.From < 1 || k.To < k.From || k.Weight < 0 {
			return fmt.Errorf("kind %q: from is below 1, to below from, or weight negative", k.Name)
		}
	}
	return nil
}
