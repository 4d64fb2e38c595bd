package table

import (
	"strings"

	answers "snipeshift.example/lib/operator"
)

// Parts are the columns of the list of suspect parts of prompts.
var Parts = []Column[answers.Part]{
	{"SERVICE", func(r answers.Part) string { return string(r.Service) }},
	{"PART", func(r answers.Part) string { return r.Part }},
	{"CRASHES", func(r answers.Part) string { return text(len(r.Upstreams)) }},
	{"FIRST", func(r answers.Part) string { return r.First.Duration().String() }},
	{"LAST", func(r answers.Part) string { return r.Last.Duration().String() }},
	{"UPSTREAMS", func(r answers.Part) string {
		names := make([]string, len(r.Upstreams))
		for i, u := range r.Upstreams {
			names[i] = string(u)
		}
		return strings.Join(names, " ")
	}},
}
