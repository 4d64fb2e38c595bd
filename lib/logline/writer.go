package logline

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// Writer writes log lines without ever blocking the caller. If the reader of the output stalls, the
// pipe fills up and direct writes would block every request. Lines therefore pass through a bounded
// queue; when the queue is full, they are dropped and counted.
type Writer struct {
	queue   *log.AsyncWriter
	dropped atomic.Uint64
}

// NewWriter returns a writer to out with a queue for the given number of lines.
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

// Dropped returns the number of lines dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and closes the queue.
func (w *Writer) Close() error { return w.queue.Close() }
