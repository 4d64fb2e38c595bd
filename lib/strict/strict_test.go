package strict

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type file struct {
	Level string  `json:"level"`
	Ratio float64 `json:"ratio"`
	Small uint8   `json:"small"`
	Inner struct {
		Count int `json:"count"`
	} `json:"inner"`
	Weights map[string]float64 `json:"weights"`
}

var table = Table{
	"level":       {Enum: []string{"low", "high"}, Default: "low"},
	"small":       {},
	"inner.count": {Default: 7, Unit: "things"},
}

func TestDefaultsInAbsentObject(t *testing.T) {
	var f file
	require.NoError(t, Read([]byte(`{}`), "f", &f, table).Problems().Err())
	require.Equal(t, "low", f.Level)
	require.Equal(t, 7, f.Inner.Count)
}

func TestProblems(t *testing.T) {
	for text, want := range map[string]string{
		`{"level": "medium"}`:               `f:1: level: is "medium": use one of low, high`,
		"{\n\n\"small\": 300}":              `f:3: small: is 300: use a smaller number`,
		`{"small": -1}`:                     `f:1: small: is -1: use a smaller number`,
		`{"ratio": 1e999}`:                  `f:1: ratio: is too large: use a smaller number`,
		`{"inner": {"count": 1.5}}`:         `f:1: inner.count: is 1.5: must be a whole number of things`,
		`{"inner": {"count": 1e17}}`:        `f:1: inner.count: is 1e17: use a smaller number`,
		`{"inner": {"count": {}}}`:          `f:1: inner.count: must be a whole number of things, not an object`,
		"{/* [[ */ \"a\\nb\": true}":        `f:1: "a\nb": unknown field: use one of inner, level, ratio, small, weights`,
		`{"inner": 1, "inner": 2}`:          "f:1: inner: must be an object {...}, not a number\nf:1: inner: appears twice in this object, first at line 1: remove one",
		`{"level": "high", "ratio": "0.5"}`: `f:1: ratio: must be a number, not a string`,
		`{"weights": 1}`:                    `f:1: weights: must be an object {...}, not a number`,
		`{"weights": {"a.b": "x"}}`:         `f:1: weights."a.b": must be a number, not a string`,
		`{"weights": {"a": 1, "a": 2}}`:     `f:1: weights.a: appears twice in this object, first at line 1: remove one`,
	} {
		var f file
		require.EqualError(t, Read([]byte(text), "f", &f, table).Problems().Err(), want)
	}
}

func TestAbsentFieldIsReportedAtParent(t *testing.T) {
	var f file
	s := Read([]byte("{\n\"inner\": {\n}}"), "f", &f, table)
	s.AddProblem("inner.count", "is missing")
	require.Equal(t, 2, s.Problems()[0].Line)
}
