package logline

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// Writer passes lines on without ever holding up who writes them.
// A reader that stands still would fill the pipe and hold up each request. So a bounded queue stands between, and a line that finds it full is
// dropped and counted.
type Writer struct {
	queue   *log.AsyncWriter
	dropped atomic.Uint64
}

// NewWriter returns a writer with room for some lines before out.
func NewWriter(out io.Writer, lines uint) *Writer {
	return &Writer{queue: &log.AsyncWriter{Writer: &log.IOWriter{Writer: out}, ChannelSize: lines, DiscardOnFull: true}}
}

// WriteEntry implements log.Writer.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.queue.WriteEntry(e)
	if errors.Is(err, log.ErrAsyncWriterFull) {
		w.dropped.Add(1)
		return n, nil
	}
	return n, err
}

// Dropped is how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued.
func (w *Writer) Close() error { return w.queue.Close() }
