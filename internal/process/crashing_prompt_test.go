package process

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/gateway"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// crashingPart is the part of a prompt under which the fleet's servers crash; sharedPart begins every prompt.
const (
	crashingPart = "bad"
	sharedPart   = "a1"
)

// Headers of promptDialect.
const (
	headerTestID    = "X-Id"
	headerTestParts = "X-Parts" // hexadecimal ids, separated by commas
)

// promptDialect is a gateway.Dialect that transmits ids and prompt parts only.
type promptDialect struct{}

func (promptDialect) ParseCall(h http.Header) (gateway.Call, error) {
	call := gateway.Call{ID: h.Get(headerTestID)}
	for _, text := range strings.Split(h.Get(headerTestParts), ",") {
		id, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return call, errors.NotValidf("part %q", text)
		}
		call.Prompt.Parts = append(call.Prompt.Parts, gateway.PromptPart{ID: id, Tokens: 100})
		call.Prompt.Tokens += 100
	}
	return call, nil
}

func (promptDialect) RewriteHeaders(http.Header, gateway.Forwarding) {}

func (promptDialect) ParseReply(_ int, h http.Header) gateway.Reply {
	return gateway.Reply{RequestID: h.Get(headerTestID), Signed: true}
}

// crashingFleet runs backend servers that crash as soon as they begin to answer a request with crashingPart. Each server that
// crashed is replaced by a new one.
type crashingFleet struct {
	report func(*controlpb.BackendServer)

	mu      sync.Mutex
	servers map[string]*crashingServer // by id
	started int
	reached int // requests with crashingPart that reached a server
}

type crashingServer struct {
	id    string
	lis   net.Listener
	conns []net.Conn
}

func (f *crashingFleet) start() {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return // a test that ends; the fleet has one server fewer
	}
	f.mu.Lock()
	f.started++
	s := &crashingServer{id: "s" + strconv.Itoa(f.started), lis: lis}
	f.servers[s.id] = s
	f.mu.Unlock()
	f.register(s)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			s.conns = append(s.conns, conn)
			f.mu.Unlock()
			go f.serve(s, conn)
		}
	}()
}

func (f *crashingFleet) serve(s *crashingServer, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + headerTestID + ": " + r.Header.Get(headerTestID) + "\r\n\r\n"
		if slices.Contains(strings.Split(r.Header.Get(headerTestParts), ","), crashingPart) {
			_, _ = io.WriteString(conn, head)
			f.crash(s)
			return
		}
		_, _ = io.WriteString(conn, head+"7\r\nid: 1\n\n\r\n0\r\n\r\n")
	}
}

// crash ends a server and starts another one.
func (f *crashingFleet) crash(s *crashingServer) {
	_ = s.lis.Close()
	f.mu.Lock()
	f.reached++
	delete(f.servers, s.id)
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	f.mu.Unlock()
	f.start()
}

func (f *crashingFleet) register(s *crashingServer) {
	f.report(&controlpb.BackendServer{
		Id: s.id, Incarnation: "1", Address: s.lis.Addr().String(), Kind: route.KindService, Model: "app",
		Lifecycle: route.LifecycleReady, Slots: 4, StartedMs: 1, Sequence: uint64(time.Now().UnixMilli()),
	})
}

// renew repeats the reports of all servers until ctx ends.
func (f *crashingFleet) renew(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		running := make([]*crashingServer, 0, len(f.servers))
		for _, s := range f.servers {
			running = append(running, s)
		}
		f.mu.Unlock()
		for _, s := range running {
			f.register(s)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (f *crashingFleet) crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached
}

// promptCatalog returns a catalog with one route for streams.
func promptCatalog(document []byte) (*catalog.Catalog, error) {
	var d struct{ Version uint64 }
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, err
	}
	return &catalog.Catalog{
		Version:  d.Version,
		Services: []catalog.Service{{Name: "app"}},
		Routes: []catalog.Route{{
			Name: "stream", Host: "127.0.0.1", PathPrefix: "/", Kind: catalog.Streaming, Timeout: time.Minute, MaxAttempts: 1,
			CachesPrompts: true, Targets: []catalog.Target{{Service: "app", Weight: 1}},
		}},
	}, nil
}

// startPromptGateway runs a gateway that watches the group, and returns its address once it is ready.
func startPromptGateway(d *discoveryGroup, name string) string {
	d.t.Helper()
	cfg, problems := config.Parse("settings", fmt.Appendf(nil, `{
  "id": %q, "zone": "a", "control_port": %d, "control_members": ["%s:1", "%s:1", "%s:1"],
  "gateway": {"listen": "127.0.0.1:0", "retry_ratio": 0.2}
}`, name, d.port, d.ip(1), d.ip(2), d.ip(3)))
	if err := problems.Err(); err != nil {
		d.t.Fatal(err)
	}
	base, err := NewBase(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		d.t.Fatal(err)
	}
	base.Adapter = Adapter{Dialect: promptDialect{}, ParseCatalog: promptCatalog}
	g, err := BuildGateway(base)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	d.t.Cleanup(func() {
		cancel()
		<-done
	})
	d.waitUntil("the gateway "+name+" is ready", func() bool { ready, _ := g.Status(); return ready })
	return g.Addr().String()
}

// sendPrompt sends a request with prompt parts to a gateway, and returns the status of a complete answer, otherwise 0.
func sendPrompt(address string, id int64, parts ...string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	if err != nil {
		return 0
	}
	r.Header.Set(headerTestID, strconv.FormatInt(id, 10))
	r.Header.Set(headerTestParts, strings.Join(append(parts, strconv.FormatInt(0xc0000+id, 16)), ","))
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// TestRequestsWithPartThatCrashesServersAreRefused guards against requests with one part in their prompts, sent through any gateway,
// that crash one backend server after the other. All gateways must stop sending them, and go on serving requests that share their
// other parts.
func TestRequestsWithPartThatCrashesServersAreRefused(t *testing.T) {
	const (
		pause      = 300 * time.Millisecond // between requests with the part
		maxCrashes = 30                     // the part is not recognized
		further    = 20                     // requests with the part after all gateways refuse them
	)
	d := newDiscoveryGroup(t)
	var members []*runningMember
	for host := 1; host <= 3; host++ {
		members = append(members, d.start(host, true))
	}
	d.waitUntil("three voters", func() bool { return len(members[0].replica.Status().Members()) == 3 })
	d.replaceCatalog(members[0], 1)
	fleet := &crashingFleet{report: members[0].service.ReportBackend, servers: make(map[string]*crashingServer)}
	for range 6 {
		fleet.start()
	}
	go fleet.renew(t.Context())
	var gateways []string
	for i := range 3 {
		gateways = append(gateways, startPromptGateway(d, fmt.Sprint("gateway-", i+1)))
	}
	var ids atomic.Int64
	send := func(gateway string, parts ...string) int { return sendPrompt(gateway, ids.Add(1), parts...) }
	d.waitUntil("the gateways know the servers", func() bool { return send(gateways[0], sharedPart) == 200 && send(gateways[2], sharedPart) == 200 })

	refusedByAll := func() bool {
		refused := 0
		for _, g := range gateways {
			time.Sleep(pause)
			before := fleet.crashes()
			if send(g, sharedPart) == 200 && send(g, sharedPart, crashingPart) == http.StatusServiceUnavailable && fleet.crashes() == before {
				refused++
			}
		}
		return refused == len(gateways)
	}
	d.waitUntil("all gateways refuse the part, or too many servers have crashed", func() bool { return refusedByAll() || fleet.crashes() >= maxCrashes })
	before := fleet.crashes()
	if before >= maxCrashes {
		t.Fatalf("%d servers have crashed and requests with the part still reach servers", before)
	}
	for i := range further {
		send(gateways[i%len(gateways)], sharedPart, crashingPart)
	}
	if after := fleet.crashes(); after != before {
		t.Errorf("%d of %d further requests with the part reached servers, want none", after-before, further)
	}
	for i := range further {
		if status := send(gateways[i%len(gateways)], sharedPart); status != 200 {
			t.Errorf("a request with the same first part got status %d, want 200", status)
		}
	}
}
