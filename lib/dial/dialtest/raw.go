package dialtest

import (
	"io"
	"net/http"
)

// Raw is a handler that responds with arbitrary bytes and closes the connection.
func Raw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, response) // an error means that the caller has closed the connection
	}
}
