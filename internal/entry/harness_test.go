package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/guavastack/guavastack/internal/agent"
	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/keys"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/standin"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/service"
	"github.com/guavastack/guavastack/proto/controlpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testDocument = `{
  "defaults": {"deadline": "30s", "first_token_target": "5s", "between_token_target": "1s", "attempts": 3, "repeatable": true},
  "classes": {"fast": {"tier": 0}, "slow": {"tier": 2}, "kept": {"tier": 3, "keep_answer": true}},
  "organisations": {
    "camurca": {"classes": {"single": {"tier": 1, "limits": {"concurrency": 1}}}},
    "fjordslag": {},
  },
  "routes": [
    {"prefix": "/services/orders", "service": "orders", "class": "fast"},
    {"prefix": "/services/stock", "service": "orders", "class": "slow", "open": true, "repeatable": true},
  ],
}`

// fakeDirectory is a Directory that the test controls.
type fakeDirectory struct {
	settings *settings.Module
	claims   *claim.Module
	fresh    atomic.Bool

	mu       sync.Mutex
	index    uint64
	backends []*controlpb.BackendServer
	drains   *zonedrain.List
	onChange []func()
	usage    []*controlpb.UsageReport
	open     uint64
	settled  uint64
	down     bool // the control group does not respond
}

func newFakeDirectory(t testing.TB) *fakeDirectory {
	t.Helper()
	d := &fakeDirectory{settings: settings.NewModule(), claims: claim.NewModule(claim.DefaultBounds()), open: 1}
	d.fresh.Store(true)
	d.change(t, settings.Command{Op: settings.PutDocument, Document: testDocument})
	return d
}

// change applies a change of the settings.
func (d *fakeDirectory) change(t testing.TB, c settings.Command) {
	t.Helper()
	data, err := d.apply(d.settings, c)
	if err != nil {
		t.Fatal(err)
	}
	var out settings.Outcome
	if err := json.Unmarshal(data, &out); err != nil || !out.Accepted {
		t.Fatalf("got outcome %+v, error %v, want the change accepted", out, err)
	}
	d.changed()
}

func (d *fakeDirectory) apply(m state.Module, body any) (json.RawMessage, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	return m.Apply(d.index, state.Command{Module: m.Name(), Body: data})
}

func (d *fakeDirectory) changed() {
	d.mu.Lock()
	callbacks := d.onChange
	d.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// key creates a key of the organisation.
func (d *fakeDirectory) key(t testing.TB, organisation string) keys.Key {
	t.Helper()
	k := keys.New()
	d.change(t, settings.Command{Op: settings.CreateKey, Path: organisation, KeyID: k.ID, KeyHash: k.Hash})
	return k
}

func (d *fakeDirectory) Tree() *settings.Tree {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings.Tree()
}
func (d *fakeDirectory) Ready() bool                          { return true }
func (d *fakeDirectory) Fresh(time.Time) bool                 { return d.fresh.Load() }
func (d *fakeDirectory) Share(string) limit.Share             { return limit.Whole }
func (d *fakeDirectory) SetDemand(func() []*controlpb.Demand) {}
func (d *fakeDirectory) Backends() []*controlpb.BackendServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backends
}

func (d *fakeDirectory) ZoneDrains() *zonedrain.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drains
}

// drain makes the entries know that exactly these zones are drained.
func (d *fakeDirectory) drain(zones ...string) {
	list := &zonedrain.List{}
	for _, zone := range zones {
		list.Drains = append(list.Drains, zonedrain.Drain{Zone: zone})
	}
	d.mu.Lock()
	d.drains = list
	d.mu.Unlock()
	d.changed()
}

func (d *fakeDirectory) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onChange = append(d.onChange, f)
}

func (d *fakeDirectory) OpenWindow() uint64 { d.mu.Lock(); defer d.mu.Unlock(); return d.open }

func (d *fakeDirectory) setBackends(b []*controlpb.BackendServer) {
	d.mu.Lock()
	d.backends = b
	d.mu.Unlock()
	d.changed()
}

func (d *fakeDirectory) Propose(_ context.Context, cmd state.Command) (json.RawMessage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, context.DeadlineExceeded
	}
	d.index++
	return d.claims.Apply(d.index, cmd)
}

func (d *fakeDirectory) ReportUsage(_ context.Context, r *controlpb.UsageReport) (*controlpb.UsageAck, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, context.DeadlineExceeded
	}
	d.usage = append(d.usage, r)
	return &controlpb.UsageAck{OpenWindow: d.open, Accepted: true, SettledWindow: d.settled}, nil
}

// fixture is an entry with real links and agents in front of stand-in backend servers.
type fixture struct {
	t        testing.TB
	dir      *fakeDirectory
	entry    *Server
	url      string
	engine   *engine.Engine
	service  *service.Service
	received *standin.Recorder // what the backend servers received
	key      keys.Key          // of camurca
	client   *http.Client
	stop     func() // stops the entry and waits for its end

	configure func(*Config) // changes the configuration of entries started later; may be nil
	backends  []*controlpb.BackendServer
	agents    map[string]*agent.Agent
}

// waiting returns the number of requests queued at an agent.
func (b *fixture) waiting(id string) int { return int(b.agents[id].Load().Waiting) }

func newFixture(t testing.TB) *fixture {
	t.Helper()
	b := &fixture{
		t:        t,
		dir:      newFakeDirectory(t),
		engine:   engine.New(engine.Config{Model: "m", TokenInterval: time.Millisecond}),
		service:  service.New(),
		received: &standin.Recorder{},
		agents:   make(map[string]*agent.Agent),
	}
	b.key = b.dir.key(t, "camurca")
	b.startAgent("engine-1", agent.BackendConfig{Kind: agent.KindEngine, URL: b.serve(b.engine), Model: "m", Slots: 4})
	b.startAgent("orders-1", agent.BackendConfig{Kind: agent.KindService, URL: b.serve(b.service), Model: "orders", Slots: 4})
	b.url, b.stop = b.startEntry("entry-1")
	b.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(b.client.CloseIdleConnections)
	return b
}

// serve serves a stand-in and records the bytes that it receives.
func (b *fixture) serve(h http.Handler) string {
	srv := httptest.NewUnstartedServer(h)
	srv.Listener = b.received.Wrap(srv.Listener)
	srv.Start()
	b.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

// serveRaw serves a stand-in without recording.
func (b *fixture) serveRaw(h http.Handler) string {
	srv := httptest.NewServer(h)
	b.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

// startAgent starts an agent and waits until its backend server is ready.
func (b *fixture) startAgent(id string, backend agent.BackendConfig) *agent.Agent {
	b.t.Helper()
	a, err := agent.New(agent.Config{ID: id, Listen: "127.0.0.1:0", Zone: "a", Backend: backend})
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	b.t.Cleanup(func() {
		cancel()
		<-done
	})
	waitFor(b.t, func() bool { return a.Registration().Lifecycle == route.LifecycleReady })
	b.agents[id] = a
	b.backends = append(b.backends, a.Registration())
	b.dir.setBackends(b.backends)
	return a
}

// startEntry starts another entry with the same directory.
func (b *fixture) startEntry(id string) (url string, stop func()) {
	b.t.Helper()
	links := link.NewPool(link.Config{EntryID: id, Incarnation: id + "-1"})
	cfg := Config{
		ID: id, Incarnation: id + "-1", Zone: "a",
		MaxBodyBytes: 64 << 10, DrainDelay: time.Millisecond, UsageInterval: 10 * time.Millisecond,
	}
	if b.configure != nil {
		b.configure(&cfg)
	}
	s := New(cfg, b.dir, links)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, lis)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-done
		links.Close()
	})
	b.t.Cleanup(stop)
	b.dir.changed()
	if b.entry == nil {
		b.entry = s
	}
	return "http://" + lis.Addr().String(), stop
}

// waitFor waits until cond returns true. It has no timeout of its own.
func waitFor(t testing.TB, cond func() bool) {
	t.Helper()
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}

// call describes one request of a caller.
type call struct {
	method, path string
	key          string
	headers      map[string]string
	body         string
}

// answer is the answer that a caller received.
type answer struct {
	status  int
	header  http.Header
	body    string
	readErr error
	code    string
	verdict string // of the error body
}

func (b *fixture) start(ctx context.Context, url string, c call) *http.Response {
	b.t.Helper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, c.method, url+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		b.t.Fatal(err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	return resp
}

// do sends a request and reads the complete answer.
func (b *fixture) do(c call) answer { return b.doAt(b.url, c) }

func (b *fixture) doAt(url string, c call) answer {
	b.t.Helper()
	resp := b.start(context.Background(), url, c)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data), readErr: err}
	var body errorBody
	if json.Unmarshal(data, &body) == nil {
		a.code, a.verdict = body.Error.Code, body.Error.Verdict
	}
	return a
}

// chat returns a streamed chat request with the fixture's key.
func (b *fixture) chat(tokens string) call {
	return call{
		path: "/v1/chat/completions",
		key:  b.key.Secret,
		body: `{"model":"m","stream":true,"max_tokens":` + tokens + `,"messages":[{"role":"user","content":"hi"}]}`,
	}
}

// order returns a request to the service orders with the fixture's key.
func (b *fixture) order(body, idempotencyKey string) call {
	c := call{path: "/services/orders/new", key: b.key.Secret, body: body, headers: map[string]string{}}
	if idempotencyKey != "" {
		c.headers[headerIdempotencyKey] = idempotencyKey
	}
	return c
}

// engineBackendConfig returns the configuration of an agent for an engine with the fixture's model.
func engineBackendConfig(b *fixture, e http.Handler) agent.BackendConfig {
	return agent.BackendConfig{Kind: agent.KindEngine, URL: b.serve(e), Model: "m", Slots: 4}
}
