package peernet

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// selfSignedConfig writes a self-signed certificate for 127.0.0.1 and returns a configuration that uses and trusts it.
func selfSignedConfig(t *testing.T) Config {
	t.Helper()
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: "test"},
		NotAfter:     time.Now().Add(time.Hour),
		IsCA:         true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return Config{Certificate: cert, Key: write("key.pem", "EC PRIVATE KEY", keyDER), Authority: cert}
}

// canExchange reports whether a client can send a byte to a server and receive it back.
func canExchange(t *testing.T, server, client Config) bool {
	t.Helper()
	s, err := New(server)
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(client)
	if err != nil {
		t.Fatal(err)
	}
	lis, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(conn, conn)
		_ = conn.Close()
	}()
	conn, err := c.Dial(context.Background(), lis.Addr().String())
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte{42}); err != nil {
		return false
	}
	var b [1]byte
	_, err = io.ReadFull(conn, b[:])
	return err == nil && b[0] == 42
}

func TestMutualAuthentication(t *testing.T) {
	ours, other := selfSignedConfig(t), selfSignedConfig(t)
	untrustedClient := Config{Certificate: other.Certificate, Key: other.Key, Authority: ours.Authority}
	tests := []struct {
		name           string
		server, client Config
		want           bool
	}{
		{"both with our certificates", ours, ours, true},
		{"client certificate of another authority", ours, untrustedClient, false},
		{"server certificate of another authority", other, ours, false},
		{"plain loopback", Config{}, Config{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := canExchange(t, tt.server, tt.client); got != tt.want {
				t.Errorf("got connection success %v, want %v", got, tt.want)
			}
		})
	}
}

func TestAllowedPeers(t *testing.T) {
	l := &listener{allowed: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}}
	tests := []struct {
		ip   string
		want bool
	}{
		{"127.0.0.1", true},
		{"10.1.2.3", true},
		{"10.2.0.1", false},
		{"::ffff:10.1.0.9", true},
		{"2001:db8::1", false},
	}
	for _, tt := range tests {
		addr := &net.TCPAddr{IP: net.ParseIP(tt.ip), Port: 1}
		if got := l.isAllowed(addr); got != tt.want {
			t.Errorf("isAllowed(%s) = %v, want %v", tt.ip, got, tt.want)
		}
	}
}
