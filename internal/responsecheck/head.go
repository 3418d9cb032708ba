// Package responsecheck rejects HTTP/1 responses that are not well-formed, although net/http accepts them.
//
// net/http takes any three characters that are a number as the status, such as 000 and +99, and any major version. RFC 9112, section 4, and
// RFC 9110, section 15, allow neither.
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
	inLine
	atLineStart
	afterReturn // at the start of a line, after a carriage return
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
	switch {
	case h.position == inStatusLine:
		return h.checkStatusLine(c)
	case h.position == afterStatus && c != ' ' && c != '\r' && c != '\n':
		return errors.Annotate(ErrMalformed, "status with more than three digits")
	case c == '\n' && (h.position == atLineStart || h.position == afterReturn):
		h.position = afterHead
	case c == '\n':
		h.position = atLineStart
	case c == '\r' && h.position == atLineStart:
		h.position = afterReturn
	default:
		h.position = inLine
	}
	return nil
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
