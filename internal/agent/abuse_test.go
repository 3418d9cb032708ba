package agent

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/peernet"
	"github.com/guavastack/guavastack/internal/standin"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/service"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// TestCredentialsAreNotForwarded records all bytes that a service and an engine receive, and searches them for a key.
func TestCredentialsAreNotForwarded(t *testing.T) {
	const key = "gv-secret-key"
	for _, kind := range []BackendKind{KindService, KindEngine} {
		t.Run(string(kind), func(t *testing.T) {
			var recorder standin.Recorder
			server := httptest.NewUnstartedServer(service.New())
			if kind == KindEngine {
				server = httptest.NewUnstartedServer(engine.New(engine.Config{}))
			}
			server.Listener = recorder.Wrap(server.Listener)
			server.Start()
			t.Cleanup(server.Close)
			a := startAgent(t, Config{Backend: BackendConfig{Kind: kind, URL: server.URL}})
			s := chat("r1", "3")
			for _, name := range []string{"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization", "api-key", "X-Anything"} {
				s.Headers = append(s.Headers, &linkpb.Header{Name: name, Value: key})
			}
			r := newRecorder()
			submit(t, newPool(t, "entry-1", nil), a.Addr().String(), s, r)
			if o := <-r.done; o.end == nil {
				t.Fatal(o)
			}
			if got := recorder.Bytes(); bytes.Contains(got, []byte(key)) || !bytes.Contains(got, []byte("max_tokens")) {
				t.Errorf("backend server received %q, want max_tokens in it and no key", got)
			}
		})
	}
}

// TestInvalidConnections opens connections that do not speak the link protocol, and checks that the agent still serves
// requests.
func TestInvalidConnections(t *testing.T) {
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"nothing", nil},
		{"HTTP", []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")},
		{"random", bytes.Repeat([]byte{0xde, 0xad, 0xbe, 0xef}, 1000)},
		{"endless frame", bytes.Repeat([]byte{0xff}, 1<<20)},
		{"zeroes", make([]byte, 1<<16)},
	}
	a := startAgent(t, Config{Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(t, engine.New(engine.Config{}))}})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", a.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = conn.Write(tt.bytes) // the agent may close the connection at any byte
			r := newRecorder()
			submit(t, newPool(t, "entry-"+tt.name, nil), a.Addr().String(), chat("r-"+tt.name, "3"), r)
			if o := <-r.done; o.end == nil {
				t.Error(o)
			}
		})
	}
}

// TestIdleLinkIsClosedAfterTimeout checks that a link without requests is reused before the idle timeout and closed
// after it.
func TestIdleLinkIsClosedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, Config{}, engine.New(engine.Config{}))
		p := link.NewPool(link.Config{EntryID: "e", Incarnation: "1", Dial: c.links.Dial, IdleTimeout: 30 * time.Second})
		defer p.Close()
		run := func(id string) {
			r := newRecorder()
			submit(t, p, agentAddr, chat(id, "1"), r)
			if o := <-r.done; o.end == nil {
				t.Error(o)
			}
		}
		run("r1")
		time.Sleep(20 * time.Second) // virtual
		run("r2")
		if n := c.links.Dials(); n != 1 {
			t.Errorf("%d dials before the idle timeout, want 1", n)
		}
		time.Sleep(40 * time.Second)
		run("r3")
		if n := c.links.Dials(); n != 2 {
			t.Errorf("%d dials after the idle timeout, want 2", n)
		}
	})
}

// TestMutualTLS opens links with a valid certificate, with one of another authority, and without TLS.
func TestMutualTLS(t *testing.T) {
	mutual := network(t, writeCertificate(t, "agent"))
	lis, err := mutual.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := startAgent(t, Config{Listener: lis, Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(t, engine.New(engine.Config{}))}})
	tests := []struct {
		name   string
		client *peernet.Network
		want   verdict.Verdict
	}{
		{"with a certificate", mutual, verdict.Ran},
		{"with a certificate of another authority", network(t, writeCertificate(t, "other")), verdict.NotRun},
		{"without TLS", network(t, peernet.Config{}), verdict.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := link.NewPool(link.Config{
				EntryID: "e", Incarnation: tt.name, Dial: tt.client.DialNetwork, SilenceTimeout: 300 * time.Millisecond,
			})
			defer p.Close()
			r := newRecorder()
			submit(t, p, a.Addr().String(), chat("r-"+tt.name, "1"), r)
			if o := <-r.done; o.verdict != tt.want {
				t.Errorf("got outcome %v, want the verdict of the case", o)
			}
		})
	}
}

func network(t *testing.T, cfg peernet.Config) *peernet.Network {
	t.Helper()
	n, err := peernet.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 that is also its own authority.
func writeCertificate(t *testing.T, name string) peernet.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cfg := peernet.Config{Certificate: filepath.Join(t.TempDir(), "cert.pem"), Key: filepath.Join(t.TempDir(), "key.pem")}
	cfg.Authority = cfg.Certificate
	for file, block := range map[string]*pem.Block{
		cfg.Certificate: {Type: "CERTIFICATE", Bytes: der},
		cfg.Key:         {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cfg
}

// remoteListener reports its connections as coming from a remote address.
type remoteListener struct{ net.Listener }

func (l remoteListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return remoteConn{conn}, err
}

type remoteConn struct{ net.Conn }

func (remoteConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 9} }

// TestListenerDecidesWhichPeersConnect checks that the agent accepts every peer that its listener accepts.
func TestListenerDecidesWhichPeersConnect(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := startAgent(t, Config{
		Listener: remoteListener{lis},
		Backend:  BackendConfig{Kind: KindEngine, URL: serveHTTP(t, engine.New(engine.Config{}))},
	})
	r := newRecorder()
	submit(t, newPool(t, "entry-1", nil), a.Addr().String(), chat("r1", "1"), r)
	if o := <-r.done; o.end == nil {
		t.Errorf("got outcome %v, want an end", o)
	}
}

// TestQueueLimit checks that requests beyond the slots and the queue limit are refused with the verdict NotRun.
func TestQueueLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := engine.New(engine.Config{TokenInterval: 10 * time.Millisecond})
		c := newCluster(t, Config{QueueLimit: 4, Backend: BackendConfig{Slots: 2}}, h)
		p := c.pool("entry-1")
		var all []*recorder
		for i := range 30 {
			r := newRecorder()
			s := chat(string(rune('a'+i)), "5")
			s.FloorShare = -1
			submit(t, p, agentAddr, s, r)
			all = append(all, r)
		}
		ends, refusals := 0, 0
		for _, r := range all {
			switch o := <-r.done; {
			case o.end != nil && !o.end.Stopped:
				ends++
			case o.refused != nil && o.verdict == verdict.NotRun:
				refusals++
			default:
				t.Errorf("got outcome %v, want a complete answer or a refusal with verdict not_run", o)
			}
		}
		if ends != 6 || refusals != 24 {
			t.Errorf("%d ends and %d refusals, want 6 and 24", ends, refusals)
		}
	})
}
