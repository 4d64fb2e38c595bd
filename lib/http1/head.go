package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// ErrHead is the class of errors of responses whose head is malformed. Their texts quote nothing of the head, which may belong
// to another request.
var ErrHead = errs.Class("malformed response head")

// Errors of a head.
var (
	errVersion    = ErrHead.New("the version is not HTTP/1")
	errStatus     = ErrHead.New("the status is not one of a response")
	errReason     = ErrHead.New("there is a control byte in the status line")
	errName       = ErrHead.New("the name of a field is not a token")
	errFraming    = ErrHead.New("the length of the body is ambiguous")
	errUnexpected = ErrHead.New("the response was there before its request")
)

// Names of the fields that tell where a body ends.
const (
	lengthField = "Content-Length"
	codingField = "Transfer-Encoding"
)

// Parts of a status line.
const (
	versionPrefix = "HTTP/1."
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// minStatus and maxStatus are the statuses that a response may have.
	minStatus, maxStatus = 100, 599
)

// tokenBytes are the bytes of a token in the sense of RFC 9110.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// head checks the lines of the heads of one response: those of interim responses and that of the final one.
type head struct {
	// line is the part of the present line that has been read.
	line []byte
	// begun is set after a status line until the end of its head.
	begun bool
	// version and status are those of the present head.
	version string
	status  int
	// length and coding are set once the present head has a field of that meaning.
	length, coding bool
	// done is set after the final head, err once a line is malformed.
	done bool
	err  error
}

// check checks the next bytes that were read. Those behind the final head are not looked at. An error stays.
func (h *head) check(text []byte) error {
	for !h.done && h.err == nil {
		end := bytes.IndexByte(text, '\n')
		if end < 0 {
			h.line = append(h.line, text...)
			return nil
		}
		h.line = append(h.line, text[:end]...)
		text = text[end+1:]
		line := string(bytes.TrimSuffix(h.line, []byte{'\r'}))
		h.line = h.line[:0]
		h.err = h.checkLine(line)
	}
	return h.err
}

func (h *head) checkLine(line string) error {
	switch {
	case !h.begun:
		h.begun = true
		return h.checkStatusLine(line)
	case line == "":
		return h.end()
	default:
		return h.checkField(line)
	}
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". The reason may be missing, with the blank before it.
func (h *head) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, versionPrefix)
	if !ok || len(minor) != 1 || minor < "0" || minor > "9" {
		return errVersion
	}
	status, reason, _ := strings.Cut(rest, " ")
	n, err := strconv.ParseUint(status, 10, 16)
	if err != nil || len(status) != statusDigits || n < minStatus || n > maxStatus {
		return errStatus
	}
	if n == http.StatusSwitchingProtocols {
		return errStatus // no request asks for another protocol
	}
	if strings.ContainsFunc(reason, isControl) {
		return errReason
	}
	h.version, h.status = version, int(n)
	return nil
}

// checkField checks a line such as "Name: value". A line that begins with a blank continues the value of the line before it
// in an obsolete form, which other readers take for a field of its own. Values are checked by net/http.
func (h *head) checkField(line string) error {
	name, _, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return errName
	}
	h.length = h.length || strings.EqualFold(name, lengthField)
	h.coding = h.coding || strings.EqualFold(name, codingField)
	return nil
}

// end ends the present head. Of a body with a length and a transfer coding, or with a coding that its version does not have,
// readers disagree where it ends.
func (h *head) end() error {
	if h.coding && (h.length || h.version == versionPrefix+"0") {
		return errFraming
	}
	interim := h.status < http.StatusOK
	*h = head{line: h.line, done: !interim}
	return nil
}

// isToken reports whether a name is a token. Trim takes away all bytes that a token may have, up to the first other one.
func isToken(name string) bool {
	return name != "" && strings.Trim(name, tokenBytes) == ""
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
