package openai

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/fault"
)

// A field has a value of another type. The caller was told of a type of Go, and not which field is wrong and what is wanted there.
func TestAnErrorNamesTheFieldAndWhatIsWanted(t *testing.T) {
	for body, want := range map[string]string{
		`{"messages":"hi"}`:                        "messages is a list of objects, not a string",
		`{"messages":[1]}`:                         "messages is a list of objects, not this list",
		`{"model":7}`:                              "model is a string, not 7",
		`{"stream":"yes"}`:                         "stream is true or false, not a string",
		`{"stream_options":true}`:                  "stream_options is an object, not true",
		`{"stream_options":{"include_usage":"x"}}`: "include_usage is true or false, not a string",
		`{"max_tokens":1.5}`:                       "max_tokens is a whole number, not 1.5",
		`{"max_completion_tokens":{}}`:             "max_completion_tokens is a whole number, not an object",
		`{"n":[1]}`:                                "n is a whole number, not this list",
		`[]`:                                       "the body is not a JSON object: it is this list",
		`"hi"`:                                     "the body is not a JSON object: it is a string",
		`{"model":`:                                "the body is not a JSON object: unexpected end of JSON input",
		`{"n":` + "1" + strings.Repeat("0", 60) + `,"x":1}`: "n is a whole number, not this number",
	} {
		_, err := ParseRequest([]byte(body), true)
		require.NotNil(t, err, body)
		require.Equal(t, fault.Malformed, err.Kind, body)
		require.Contains(t, err.Text, want, body)
		require.NotContains(t, err.Text, "Go ", body)
		require.NotContains(t, err.Text, "openai", body)
	}
}
