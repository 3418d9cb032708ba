// Package responsecheck rejects HTTP/1 responses that are not well-formed, although net/http accepts them.
//
// net/http takes any three characters that are a number as the status, such as 000 and +99, and any major version. It accepts field names that
// contain blanks, but not as the names that they resemble: a Content-Length or Transfer-Encoding with a blank behind it doesn't delimit the
// body. It also joins a line that begins with a blank to the field before it. RFC 9112, sections 4, 5.1 and 5.2, and RFC 9110, section 15,
// allow a recipient to refuse all of these.
package responsecheck

import (
	"net/http"

	"github.com/juju/errors"
)

// ErrMalformed means that a response is not well-formed.
const ErrMalformed = errors.ConstError("malformed HTTP response")

// statusLine is the form of the beginning of a status line, in which 0 stands for any digit.
const statusLine = "HTTP/1.0 000"

// statusAt is the offset of the status in a status line.
const statusAt = len("HTTP/1.0 ")

const (
	minStatus = 100
	maxStatus = 599
)

// position is where the next byte of a head belongs.
type position uint8

const (
	inStatusLine position = iota
	afterStatus
	inText // a reason phrase or the value of a field
	atLineStart
	inName
	afterReturn      // behind the carriage return that ends a line
	afterFinalReturn // behind the carriage return of the empty line
	afterHead
)

// Head checks the head of one response while it arrives. The zero value expects a status line.
type Head struct {
	position position
	matched  int // bytes of statusLine that have arrived
	status   int
}

// Ended reports whether the whole head has arrived.
func (h *Head) Ended() bool { return h.position == afterHead }

// IsInformational reports whether another response follows to the same request. It is valid once the head has ended.
func (h *Head) IsInformational() bool { return h.status < http.StatusOK }

// Check checks the next bytes of the head, and returns how many of p belong to it. The error has the type ErrMalformed.
func (h *Head) Check(p []byte) (int, error) {
	for i, c := range p {
		if h.Ended() {
			return i, nil
		}
		if err := h.checkByte(c); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

func (h *Head) checkByte(c byte) error {
	switch h.position {
	case inStatusLine:
		return h.checkStatusLine(c)
	case afterStatus:
		if c != ' ' && c != '\r' && c != '\n' {
			return errors.Annotate(ErrMalformed, "status that doesn't end after three digits")
		}
		return h.checkText(c)
	case inText:
		return h.checkText(c)
	case atLineStart:
		return h.checkLineStart(c)
	case inName:
		return h.checkName(c)
	default:
		return h.checkLineFeed(c)
	}
}

func (h *Head) checkStatusLine(c byte) error {
	want := statusLine[h.matched]
	isDigit := c >= '0' && c <= '9'
	if want == '0' && !isDigit || want != '0' && c != want {
		return errors.Annotate(ErrMalformed, "status line")
	}
	if h.matched >= statusAt {
		h.status = 10*h.status + int(c-'0')
	}
	if h.matched++; h.matched < len(statusLine) {
		return nil
	}
	h.position = afterStatus
	return checkStatus(h.status)
}

// checkStatus refuses a status that is out of range, and a switch to another protocol, for which no request asks.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Annotatef(ErrMalformed, "status %03d", status)
	}
	return nil
}

func (h *Head) checkText(c byte) error {
	const del = 0x7f
	switch {
	case c == '\r':
		h.position = afterReturn
	case c == '\n':
		h.position = atLineStart
	case c < ' ' && c != '\t', c == del:
		return errors.Annotatef(ErrMalformed, "control byte %#02x in a head", c)
	default:
		h.position = inText
	}
	return nil
}

func (h *Head) checkLineStart(c byte) error {
	switch c {
	case '\r':
		h.position = afterFinalReturn
		return nil
	case '\n':
		h.position = afterHead
		return nil
	case ':':
		return errors.Annotate(ErrMalformed, "field without a name")
	}
	h.position = inName
	return h.checkName(c)
}

func (h *Head) checkName(c byte) error {
	if c == ':' {
		h.position = inText
		return nil
	}
	if !isNameByte[c] {
		return errors.Annotatef(ErrMalformed, "byte %#02x in the name of a field", c)
	}
	return nil
}

// checkLineFeed checks the byte behind a carriage return.
func (h *Head) checkLineFeed(c byte) error {
	if c != '\n' {
		return errors.Annotate(ErrMalformed, "carriage return inside a line of a head")
	}
	if h.position == afterFinalReturn {
		h.position = afterHead
		return nil
	}
	h.position = atLineStart
	return nil
}
