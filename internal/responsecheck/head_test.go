package responsecheck_test

import (
	"errors"
	"testing"

	"github.com/guavastack/guavastack/internal/responsecheck"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// check checks a head that arrives in two pieces, the second of which begins at cut, and returns how many bytes belong to it.
func check(text string, cut int) (length int, ended bool, err error) {
	var head responsecheck.Head
	for _, piece := range []string{text[:cut], text[cut:]} {
		n, err := head.Check([]byte(piece))
		length += n
		if err != nil {
			return length, head.Ended(), err
		}
	}
	return length, head.Ended(), nil
}

// TestWellFormedHeads checks that heads which RFC 9112 allows are accepted, and that what follows them is not taken for a part of them.
func TestWellFormedHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 \r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 599 Own\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n",
		"HTTP/1.1 200 Tout va bien: \xc3\xa7a\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length:5\r\nEmpty:\r\nX-Text:  a \t b: c\xe9 \r\n!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n",
	} {
		for cut := range len(head) + 1 {
			if n, ended, err := check(head+"\x00 body: \r\n", cut); err != nil || !ended || n != len(head) {
				t.Errorf("%q, cut at %d: %d bytes, ended %v, error %v; want %d bytes and the end", head, cut, n, ended, err, len(head))
			}
			if _, ended, err := check(head[:cut], 0); err != nil || ended != (cut == len(head)) {
				t.Errorf("%q: ended %v, error %v; want the end of the whole head only", head[:cut], ended, err)
			}
		}
	}
}

// TestMalformedStatusLines guards against a status that isn't one, such as 000 or a signed number, and against other versions.
func TestMalformedStatusLines(t *testing.T) {
	lines := []string{
		"HTTP/1.1 20\r\n", "HTTP/1.1 2000 X\r\n", "HTTP/1.1 200X\r\n", "HTTP/1.1 20\xb2 X\r\n", "HTTP/1.1  200 X\r\n", "HTTP/1.1\t200 X\r\n",
		"HTTP/2.0 200 X\r\n", "HTTP/0.9 200 X\r\n", "HTTP/1.x 200 X\r\n", "http/1.1 200 X\r\n", "ICY 200 X\r\n", "\r\nHTTP/1.1 200 X\r\n", "200 X\r\n",
	}
	for _, status := range responsechecktest.InvalidStatuses() {
		lines = append(lines, "HTTP/1.1 "+status+" X\r\n", "HTTP/1.1 "+status+"\r\n")
	}
	for _, line := range lines {
		checkMalformed(t, line+"Content-Length: 0\r\n\r\n")
	}
}

// TestMalformedFields guards against a field that counts as another one, or as none: a blank in the name of the length or of the coding hides
// where the body ends, and a line that begins with a blank changes the value of the field before it.
func TestMalformedFields(t *testing.T) {
	const status, field = "HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n"
	for _, line := range responsechecktest.MalformedFields() {
		checkMalformed(t, status+line+"\r\n"+field+"\r\n")
		checkMalformed(t, status+field+line+"\r\n\r\n")
		checkMalformed(t, "HTTP/1.1 200 OK\n"+field+line+"\n\n")
	}
	checkMalformed(t, "HTTP/1.1 200 O\x00K\r\n"+field+"\r\n")
	checkMalformed(t, status+field+"\r\r\n")
}

func checkMalformed(t *testing.T, head string) {
	t.Helper()
	for cut := range len(head) {
		if _, ended, err := check(head, cut); !errors.Is(err, responsecheck.ErrMalformed) || ended {
			t.Errorf("%q, cut at %d: ended %v, error %v; want %v", head, cut, ended, err, responsecheck.ErrMalformed)
		}
	}
}
