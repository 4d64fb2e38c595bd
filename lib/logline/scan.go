package logline

import (
	"bufio"
	"bytes"
	"io"
)

// maxLineLen is the longest line that Scan accepts, in bytes.
const maxLineLen = 1 << 20

// Scan calls f with the JSON object of each line of a log. A line may have a prefix before the object,
// such as that of a log collector. f reports whether the object was written by a daemon. Scan returns
// the number of lines without an object or rejected by f, so that a truncated log is noticed.
func Scan(r io.Reader, f func(object []byte) bool) (skipped int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), maxLineLen)
	for sc.Scan() {
		text := sc.Bytes()
		if start := bytes.IndexByte(text, '{'); start < 0 || !f(text[start:]) {
			skipped++
		}
	}
	return skipped, sc.Err()
}
