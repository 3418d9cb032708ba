// Package peernet provides the connections between the processes of an installation.
//
// With certificates, both ends authenticate by mutual TLS. Without them, a listener closes connections from addresses
// that are not allowed; loopback addresses are always allowed.
package peernet

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/certs"
)

// Config configures how peers are authenticated.
type Config struct {
	Certificate, Key, Authority string         // PEM files for mutual TLS; all empty: no TLS
	Allowed                     []netip.Prefix // addresses of allowed peers, used without TLS
}

// Network dials and accepts connections.
type Network struct {
	allowed []netip.Prefix
	server  *tls.Config // nil: no TLS
	client  *tls.Config
}

// New returns a network. It reads the certificates, if any.
func New(cfg Config) (*Network, error) {
	n := &Network{allowed: cfg.Allowed}
	if cfg.Certificate == "" {
		return n, nil
	}
	cert, err := certs.NewReloader(cfg.Certificate, cfg.Key)
	if err != nil {
		return nil, errors.Annotate(err, "link_tls")
	}
	authority, err := certs.LoadAuthority(cfg.Authority)
	if err != nil {
		return nil, errors.Annotate(err, "link_tls.authority")
	}
	n.server, n.client = cert.MutualConfigs(authority)
	return n, nil
}

// Dial connects to addr, an IP address with a port. With TLS, the server's certificate must be valid for that address.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil || n.client == nil {
		return conn, err
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	cfg := n.client.Clone()
	cfg.ServerName = host
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Annotatef(err, "TLS handshake with %s", addr)
	}
	return secured, nil
}

// DialNetwork is Dial with the signature of net.Dialer.DialContext.
func (n *Network) DialNetwork(ctx context.Context, _, addr string) (net.Conn, error) {
	return n.Dial(ctx, addr)
}

// Listen listens on addr for connections from peers.
func (n *Network) Listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if n.server != nil {
		return tls.NewListener(lis, n.server), nil
	}
	return &listener{Listener: lis, allowed: n.allowed}, nil
}

// listener closes connections from addresses that are not allowed.
type listener struct {
	net.Listener
	allowed []netip.Prefix
}

// Accept returns the next connection from an allowed address.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.isAllowed(conn.RemoteAddr()) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

func (l *listener) isAllowed(addr net.Addr) bool {
	ap, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return false
	}
	return isAllowed(ap.Addr(), l.allowed)
}

// Allows reports whether a process at an address may be a peer. With TLS the certificate decides, so any address may.
func (n *Network) Allows(ip netip.Addr) bool {
	return n.server != nil || isAllowed(ip, n.allowed)
}

func isAllowed(ip netip.Addr, allowed []netip.Prefix) bool {
	ip = ip.Unmap()
	if ip.IsLoopback() {
		return true
	}
	for _, p := range allowed {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}
