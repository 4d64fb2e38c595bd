// Package retryafter reads the header Retry-After of HTTP, by which a server that turns a request away says for how long it wants none.
package retryafter

import (
	"math"
	"net/http"
	"net/textproto"
	"strconv"

	"snipeshift.example/lib/clock"
)

// Header is the name of the header field.
const Header = "Retry-After"

// MaxSpan is the longest span that is believed: what is longer is a mistake.
const MaxSpan = 24 * 60 * clock.Minute

// Parse returns the longest span that an answer's fields name, and the values that cannot be read. A value is a number of seconds, fractions
// allowed, or an instant beside the Date of the answer itself.
func Parse(h http.Header) (span clock.Milli, unreadable []string) {
	for _, v := range h[Header] {
		s, ok := parse(textproto.TrimString(v), h.Get("Date"))
		if !ok {
			unreadable = append(unreadable, v)
		}
		span = max(span, s)
	}
	return span, unreadable
}

// IsRejection reports whether a status says that a request was not taken, so that Retry-After speaks of the server and not of the request.
func IsRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func parse(value, date string) (clock.Milli, bool) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil {
		end, errEnd := http.ParseTime(value)
		begin, errBegin := http.ParseTime(date)
		if errEnd != nil || errBegin != nil {
			return 0, false
		}
		seconds = max(0, end.Sub(begin).Seconds())
	}
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	return clock.Milli(min(math.Ceil(seconds*float64(clock.Second)), float64(MaxSpan))), true
}
