package retryafter

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

func TestParse(t *testing.T) {
	const now, later = "Wed, 02 Dec 2026 10:00:00 GMT", "Wed, 02 Dec 2026 10:00:07 GMT"
	for _, x := range []struct {
		values     []string
		date       string
		span       clock.Milli
		unreadable int
	}{
		{nil, "", 0, 0},
		{[]string{"3"}, "", 3000, 0},
		{[]string{" 0.25 "}, "", 250, 0},
		{[]string{"0.0001"}, "", 1, 0},
		{[]string{"0"}, "", 0, 0},
		{[]string{"1", "2"}, "", 2000, 0},
		{[]string{"soon", "2"}, "", 2000, 1},
		{[]string{"-1"}, "", 0, 1},
		{[]string{"NaN"}, "", 0, 1},
		{[]string{"Inf"}, "", 0, 1},
		{[]string{"1e9"}, "", MaxSpan, 0},
		{[]string{later}, now, 7000, 0},
		{[]string{now}, later, 0, 0},
		{[]string{later}, "", 0, 1},
	} {
		h := http.Header{Header: x.values, "Date": {x.date}}
		span, unreadable := Parse(h)
		require.Equal(t, x.span, span, "%q", x.values)
		require.Len(t, unreadable, x.unreadable, "%q", x.values)
	}
}
