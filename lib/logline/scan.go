package logline

import (
	"bufio"
	"bytes"
	"io"
)

// longestLine is the longest line that is read, in bytes.
const longestLine = 1 << 20

// Scan calls f with the JSON object of each line of a log, which may have a prefix of somebody else's before it. Lines without one, and those of
// which f reports that they are none of a daemon's, are counted: a log that was cut off must not look complete.
func Scan(r io.Reader, f func(object []byte) bool) (skipped int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), longestLine)
	for sc.Scan() {
		text := sc.Bytes()
		if start := bytes.IndexByte(text, '{'); start < 0 || !f(text[start:]) {
			skipped++
		}
	}
	return skipped, sc.Err()
}
