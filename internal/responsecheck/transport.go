package responsecheck

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// Transport is an http.RoundTripper that fails for responses that are not well-formed. It opens a connection for each request.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of t, which it takes over and changes.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DisableKeepAlives = true // conn checks the response to one request
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return checked(dial(ctx, network, address))
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return checked(handshake(ctx, raw, t.TLSClientConfig, address))
	}
	return &Transport{base: t}
}

// checked returns a connection that checks what arrives on opened, or the error with which it could not be opened.
func checked(opened net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened}, nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	res.Body = Body(res)
	return res, nil
}

// CloseIdleConnections closes the connections that no request uses yet.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// handshake makes raw a TLS connection to the server at address, or closes it if that fails. A nil config means the defaults.
func handshake(ctx context.Context, raw net.Conn, config *tls.Config, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Trace(err)
	}
	own := &tls.Config{MinVersion: tls.VersionTLS12}
	if config != nil {
		own = config.Clone()
	}
	if own.ServerName == "" {
		own.ServerName = host
	}
	secured := tls.Client(raw, own)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Trace(err)
	}
	return secured, nil
}

// conn is a connection for one request. Its reads fail once a head that arrives is not well-formed.
type conn struct {
	net.Conn
	head   Head
	inBody bool // the head of the final response has ended
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// check checks what p holds of the heads of informational responses and of the final one.
func (c *conn) check(p []byte) error {
	for !c.inBody && len(p) > 0 {
		n, err := c.head.Check(p)
		if err != nil {
			return err
		}
		p = p[n:]
		switch {
		case !c.head.Ended():
		case c.head.IsInformational():
			c.head = Head{}
		default:
			c.inBody = true
		}
	}
	return nil
}
