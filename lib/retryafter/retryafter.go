// Package retryafter parses the HTTP header field Retry-After, with which a server that rejects a
// request declares for how long it must not be sent further requests.
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

// MaxSpan is the longest duration that Parse returns. Longer values are assumed to be mistakes and are
// shortened to it.
const MaxSpan = 24 * 60 * clock.Minute

// Parse returns the longest duration in the Retry-After fields of a response, and the values that
// cannot be parsed. A value is a number of seconds, which may have a fraction, or an HTTP date,
// which is taken relative to the Date field of the response.
func Parse(h http.Header) (longest clock.Milli, unreadable []string) {
	for _, v := range h[Header] {
		s, ok := parse(textproto.TrimString(v), h.Get("Date"))
		if !ok {
			unreadable = append(unreadable, v)
		}
		longest = max(longest, s)
	}
	return longest, unreadable
}

// IsRejection reports whether a status means that the server did not accept the request, so that
// Retry-After applies to the server and not only to this request.
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
