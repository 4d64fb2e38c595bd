// Package load emulates clients: it sends a reproducible mix of requests to the daemons, checks every
// answer against the answer expected for its prompt, and measures latencies.
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
	// Addresses are the host:port of the daemons. Each request is sent to one of them.
	Addresses []string `json:"addresses"`
	// Operators are the operator addresses of the daemons, in the same order. If they are set,
	// requests are sent only to daemons that report that they are ready.
	Operators []string `json:"operators"`
	// Rate is the number of requests per second in an open loop, which sends them whether or not
	// earlier ones have been answered. Zero is a closed loop: each of MaxOpen clients sends its next
	// request after its previous one has ended.
	Rate float64 `json:"rate"`
	// MaxOpen is the maximum number of open requests. An open loop skips requests above it.
	MaxOpen int `json:"callers"`
	// Count ends the run after a number of requests, RunTime after a number of milliseconds. Zero means
	// no limit.
	Count   int         `json:"count"`
	RunTime clock.Milli `json:"span"`
	// Seed determines every request, its scheduled time and the choice of its address.
	Seed uint64 `json:"seed"`
	// Model is the model of the requests.
	Model string `json:"model"`
	// StreamFraction is the fraction of model requests that ask for a stream, 0 to 1.
	StreamFraction float64 `json:"stream"`
	// SharedFraction is the fraction of each prompt that is a prefix common to all prompts of the
	// same kind and workspace, 0 to 1.
	SharedFraction float64 `json:"shared"`
	// LongFraction is the fraction of requests of the long kinds, 0 to 1. Their prompts have LongFrom to
	// LongTo tokens.
	LongFraction float64 `json:"long"`
	LongFrom     int     `json:"longfrom"`
	LongTo       int     `json:"longto"`
	// Keys maps workspaces to their API keys.
	Keys map[string]string `json:"keys"`
	// Shares maps workspaces to their relative shares of the requests. A workspace that is not listed
	// has the share 1.
	Shares map[string]float64 `json:"shares"`
	// Burst multiplies the rate during the first fifth of every Period, which is in milliseconds.
	// Zero is a constant rate.
	Burst  float64     `json:"burst"`
	Period clock.Milli `json:"period"`
	// Retries is the maximum number of retries of a request that was refused without running and
	// with a Retry-After.
	Retries int `json:"retries"`
	// Kinds is the mix of request kinds.
	Kinds Kinds `json:"kinds"`
	// Slack is how long the client waits for an answer beyond the allowed time of the request, in
	// milliseconds.
	Slack clock.Milli `json:"slack"`
	// Direct is set if the addresses are those of engines or services instead of daemons.
	Direct bool `json:"direct"`
}

// Kinds is a mix of request kinds. Decoding JSON into it replaces all previous elements.
type Kinds []Kind

// UnmarshalJSON implements json.Unmarshaler. By default, the standard library decodes into existing
// elements and retains the values of fields that the new elements do not set.
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
	// Weight is the share of the kind in the requests, relative to the other kinds that are not long.
	Weight float64 `json:"weight"`
	// Service is the plain service that the requests call. If it is empty, they use the model.
	Service string `json:"service"`
	// From and To are the minimum and maximum length of the prompt, or of the body for a service,
	// in tokens. Long kinds use LongFrom and LongTo of the settings instead.
	From int `json:"from"`
	To   int `json:"to"`
	// Output is the length of the answer in tokens.
	Output int `json:"output"`
	// Once gives every request a unique idempotency key.
	Once bool `json:"once"`
	// Long marks a long kind. All long kinds together make up the LongFraction of the requests.
	Long bool `json:"long"`
	// Allowed is how long the client waits for the answer, in milliseconds.
	Allowed clock.Milli `json:"allowed"`
	// Deadline makes the client send Allowed as the deadline of the request.
	Deadline bool `json:"deadline"`
	// Pause is how long the client pauses after it has read an event, in milliseconds.
	Pause clock.Milli `json:"pause"`
}

// Defaults returns the settings for one of the example deployments. Model prompts have from a thousand
// to a million tokens; one request in fifty has a prompt of over a hundred thousand.
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

// mixes holds the default mix of request kinds of each example deployment.
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

// check returns an error if a run with the settings is not possible.
func (s *Settings) check() error {
	switch {
	case len(s.Addresses) == 0:
		return errors.New("addresses is empty")
	case len(s.Operators) > 0 && len(s.Operators) != len(s.Addresses):
		return errors.New("operators and addresses must have the same number of elements")
	case len(s.Keys) == 0:
		return errors.New("keys is empty")
	case len(s.Kinds) == 0:
		return errors.New("kinds is empty")
	case s.MaxOpen <= 0:
		return errors.New("callers must be at least 1")
	case s.Rate < 0 || s.Count < 0 || s.RunTime < 0:
		return errors.New("rate, count and span must not be negative")
	case s.Burst < 0 || s.Period < 0 || s.Burst > 0 && s.Period == 0:
		return errors.New("burst and period must not be negative, and a burst needs a period")
	case s.Rate == 0 && s.Count == 0 && s.RunTime == 0:
		return errors.New("without a rate, a run needs a count or a span")
	}
	for _, k := range s.Kinds {
		if k.From < 1 || k.To < k.From || k.Weight < 0 {
			return fmt.Errorf("kind %q: from must be at least 1, to at least from, and weight not negative", k.Name)
		}
	}
	return nil
}
