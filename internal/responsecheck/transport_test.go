package responsecheck_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/guavastack/guavastack/internal/responsecheck"
)

// writeRaw returns a handler that answers with text as it stands and ends the connection.
func writeRaw(t *testing.T, text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
}

// get returns the body of the response of a server that answers with text, over TLS or without.
func get(t *testing.T, text string, secure bool) (string, error) {
	t.Helper()
	s := httptest.NewUnstartedServer(writeRaw(t, text))
	transport := &http.Transport{}
	if secure {
		s.StartTLS()
		transport.TLSClientConfig = s.Client().Transport.(*http.Transport).TLSClientConfig
	} else {
		s.Start()
	}
	defer s.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := responsecheck.NewTransport(transport).RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// TestTransport guards against a client of net/http that accepts what is not well-formed, behind informational responses and over TLS too.
func TestTransport(t *testing.T) {
	const (
		early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
		coded = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
		none  = "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello"
	)
	for _, c := range []struct {
		name, text  string
		isMalformed bool
	}{
		{"well-formed", whole, false},
		{"well-formed, behind an informational response", early + whole, false},
		{"well-formed trailer", coded + "X-Sum: 1\r\n\r\n", false},
		{"a body that looks like a head", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nHTTP/1.1 000 X", false},
		{"status 000", none, true},
		{"status 000, behind an informational response", early + none, true},
		{"blank in the name of a field", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 5\r\n\r\nhello", true},
		{"blank in the name of a field of an informational response", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + whole, true},
		{"blank in the name of a field of the trailer", coded + "X Sum: 1\r\n\r\n", true},
	} {
		for _, secure := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				body, err := get(t, c.text, secure)
				if isMalformed := errors.Is(err, responsecheck.ErrMalformed); isMalformed != c.isMalformed || err == nil == c.isMalformed {
					t.Errorf("TLS %v: body %q, error %v; want %v: %v", secure, body, err, responsecheck.ErrMalformed, c.isMalformed)
				}
			})
		}
	}
}
