package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/link/linktest"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/proto/linkpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// outcome is the result of one request.
type outcome struct {
	end     *linkpb.End
	refused *linkpb.Refused
	lost    error
	verdict verdict.Verdict
	body    string
	status  uint32
}

func (o outcome) String() string {
	return fmt.Sprintf("verdict %v, end %v, refused %v, lost %v, status %d, %d bytes", o.verdict, o.end, o.refused, o.lost, o.status, len(o.body))
}

// recorder is a link.Handler that records the answer and grants credit for it.
type recorder struct {
	mu             sync.Mutex
	call           *link.Call
	body           []byte
	status         uint32
	events         int
	onEvent        func(n int)
	withholdCredit bool // grant no credit
	started        chan struct{}
	ready          chan struct{} // closed once call is set
	done           chan outcome
}

func newRecorder() *recorder {
	return &recorder{started: make(chan struct{}, 8), ready: make(chan struct{}), done: make(chan outcome, 1)}
}

func (r *recorder) Started(*linkpb.Started)   { r.started <- struct{}{} }
func (r *recorder) Load(string, *linkpb.Load) {}

func (r *recorder) Event(e *linkpb.Event) {
	<-r.ready
	r.mu.Lock()
	r.body = append(r.body, e.Data...)
	if e.Head != nil {
		r.status = e.Head.Status
	}
	r.events++
	n, f := r.events, r.onEvent
	r.mu.Unlock()
	if !r.withholdCredit {
		r.call.Grant(uint32(len(e.Data)))
	}
	if f != nil {
		f(n)
	}
}

func (r *recorder) finish(o outcome) {
	r.mu.Lock()
	o.body, o.status = string(r.body), r.status
	r.mu.Unlock()
	r.done <- o
}

func (r *recorder) End(e *linkpb.End) { r.finish(outcome{end: e, verdict: link.VerdictOf(e.Verdict)}) }

func (r *recorder) Refused(f *linkpb.Refused) {
	r.finish(outcome{refused: f, verdict: link.VerdictOf(f.Verdict)})
}
func (r *recorder) Lost(v verdict.Verdict, err error) { r.finish(outcome{lost: err, verdict: v}) }

// startAgent runs an agent until the test ends. It returns once the agent has reached the backend server.
func startAgent(t testing.TB, cfg Config) *Agent {
	t.Helper()
	if cfg.ID == "" {
		cfg.ID = "agent-1"
	}
	if cfg.Listener == nil {
		cfg.Listen = "127.0.0.1:0"
	}
	a, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	serveAgent(t, a)
	return a
}

// serveAgent runs a until the test ends. It returns once a has reached the backend server.
func serveAgent(t testing.TB, a *Agent) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Errorf("Run: got error %v, want none", err)
		}
	})
	waitBackendUp(t, a)
}

// waitBackendUp polls the loop until the backend server is reached.
func waitBackendUp(t testing.TB, a *Agent) {
	t.Helper()
	for up := false; !up; {
		if err := a.runInLoop(context.Background(), func(time.Time) { up = a.up }); err != nil {
			t.Fatal(err)
		}
	}
}

// cluster is one agent and its backend server on in-memory networks, for tests in virtual time.
type cluster struct {
	t      *testing.T
	links  *linktest.Network
	engine *linktest.Network
	agent  *Agent
}

const (
	agentAddr  = "agent:1"
	engineAddr = "engine:1"
)

// newCluster starts an agent with cfg, and h as its backend server.
func newCluster(t *testing.T, cfg Config, h http.Handler) *cluster {
	c := &cluster{t: t, links: linktest.New(), engine: linktest.New()}
	serveInMemory(t, c.engine, h)
	if cfg.Backend.Kind == "" {
		cfg.Backend.Kind = KindEngine
	}
	cfg.Backend.URL = "http://" + engineAddr
	cfg.Listener = c.links.Listen(agentAddr)
	cfg.Dial = c.engine.Dial
	c.agent = startAgent(t, cfg)
	return c
}

// pool returns the link pool of an entry.
func (c *cluster) pool(id string) *link.Pool { return newPool(c.t, id, c.links.Dial) }

// expectedBody returns the answer of an engine to the first run of s, called directly.
func expectedBody(s *linkpb.Submit) string {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(s.Method, s.Path, strings.NewReader(string(s.Body)))
	r.Header.Set("X-Request-Id", s.RequestId+".1.1")
	engine.New(engine.Config{}).ServeHTTP(w, r)
	return w.Body.String()
}

// serveHTTP serves h on loopback and returns its URL.
func serveHTTP(t testing.TB, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func newPool(t testing.TB, id string, dial func(context.Context, string, string) (net.Conn, error)) *link.Pool {
	p := link.NewPool(link.Config{EntryID: id, Incarnation: id + "-1", Dial: dial})
	t.Cleanup(p.Close)
	return p
}

// chat returns a streamed chat request for n tokens.
func chat(id string, n string) *linkpb.Submit {
	return &linkpb.Submit{
		RequestId:    id,
		Attempt:      1,
		Organisation: "camurca",
		Class:        "chat",
		Tier:         1,
		Repeatable:   true,
		Stream:       true,
		Model:        "standin",
		Method:       "POST",
		Path:         "/v1/chat/completions",
		Headers:      []*linkpb.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:         []byte(`{"model":"standin","stream":true,"max_tokens":` + n + `,"messages":[{"role":"user","content":"` + "count" + `"}]}`),
		Credit:       1 << 16,
	}
}

func submit(t testing.TB, p *link.Pool, addr string, s *linkpb.Submit, r *recorder) {
	t.Helper()
	call, err := p.Submit(context.Background(), addr, s, r)
	if err != nil {
		t.Fatal(err)
	}
	r.call = call
	close(r.ready)
}

// serveInMemory serves h at engineAddr of n.
func serveInMemory(t *testing.T, n *linktest.Network, h http.Handler) {
	server := &http.Server{Handler: h}
	lis := n.Listen(engineAddr)
	go server.Serve(lis)
	t.Cleanup(func() {
		if c, ok := h.(io.Closer); ok {
			c.Close()
		}
		server.Close()
	})
}

// runAgent runs an agent and returns it with a function that stops it abruptly.
func runAgent(t *testing.T, cfg Config) (a *Agent, kill func()) {
	a, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- a.Run(ctx) }()
	waitBackendUp(t, a)
	return a, func() {
		cancel()
		<-stopped
	}
}

// runningRequests returns the number of requests of agent-1 that e is working on.
func runningRequests(e *engine.Engine) int { return runningRequestsOf(e, "agent-1/") }

func runningRequestsOf(e *engine.Engine, owner string) int {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/running?owner="+owner, nil))
	return strings.Count(w.Body.String(), `"id"`)
}
