package logline

import (
	"io"
	stdlog "log"

	"github.com/phuslu/log"
)

// maxBrief is the size in bytes of the largest text that is logged of an error.
const maxBrief = 200

// Brief returns the beginning of the text of an error. Errors of net/http may quote all that an upstream has sent.
func Brief(err error) string {
	text := err.Error()
	return text[:min(len(text), maxBrief)]
}

// RedirectStandard makes l log what packages write to the logger of the standard library, such as the bytes that an
// upstream sends on an idle connection. Lines are cut, and written like all others, without blocking.
func RedirectStandard(l *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardWriter{l})
}

// standardWriter is the output of the logger of the standard library.
type standardWriter struct{ log *log.Logger }

var _ io.Writer = standardWriter{}

// Write implements io.Writer.
func (w standardWriter) Write(b []byte) (int, error) {
	w.log.Warn().Str("text", string(b[:min(len(b), maxBrief)])).Msg("line of a library")
	return len(b), nil
}
