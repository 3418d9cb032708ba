package gateway

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/upstream"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// part is a part of the answer of a virtual server.
type part struct {
	after time.Duration // since the part before
	text  string        // empty: the connection is closed
}

// virtualServer answers over pipes, so that its times are virtual.
type virtualServer struct {
	answer func(r *http.Request) []part // an answer without an end is left open
	order  *atomic.Int64                // of the sends to all servers

	mu   sync.Mutex
	seen []*virtualSend
}

// virtualSend is one request that a virtual server received.
type virtualSend struct {
	request *http.Request
	at      time.Time
	number  int64 // among the sends to all servers

	mu       sync.Mutex
	closedAt time.Time // when the gateway closed the connection; zero: it is open
}

func (v *virtualSend) closed() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closedAt
}

func (v *virtualServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	parts := v.answer(r) // may mark the request, which others read once it is listed
	send := &virtualSend{request: r, at: time.Now(), number: v.order.Add(1)}
	v.mu.Lock()
	v.seen = append(v.seen, send)
	v.mu.Unlock()
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		send.mu.Lock()
		send.closedAt = time.Now()
		send.mu.Unlock()
		close(closed)
	}()
	for _, p := range parts {
		timer := time.NewTimer(p.after)
		select {
		case <-closed:
			timer.Stop()
			return
		case <-timer.C:
		}
		if p.text == "" {
			return
		}
		if _, err := io.WriteString(conn, p.text); err != nil {
			return
		}
	}
	<-closed
}

func (v *virtualServer) sends() []*virtualSend {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen
}

// whole returns a complete answer that the connection does not outlast.
func whole(r *http.Request, after time.Duration, status int, extra, body string) []part {
	return []part{{after, fullAnswer(r, status, "Connection: close\r\n"+extra, body)}}
}

// events returns the head of a stream, its events and its end.
func events(r *http.Request, after time.Duration, pieces ...string) []part {
	return []part{{after, openStream(r, pieces...) + lastChunk}}
}

// openStream returns the head of a stream that the connection does not outlast, and its events.
func openStream(r *http.Request, pieces ...string) string {
	return strings.Replace(streamStart(r, pieces...), "\r\nX-Id", "\r\nConnection: close\r\nX-Id", 1)
}

// virtualFleet is a gateway with virtual servers. It lives in the bubble of one test.
type virtualFleet struct {
	t       *testing.T
	gw      *Server
	dir     *fakeDirectory
	servers []*virtualServer
	answer  func(server int, r *http.Request) []part
	steps   *stepLog
	next    int
	order   atomic.Int64
}

// stepLog collects log records.
type stepLog struct {
	mu      sync.Mutex
	records []slog.Record
}

func (l *stepLog) Enabled(context.Context, slog.Level) bool { return true }
func (l *stepLog) WithAttrs([]slog.Attr) slog.Handler       { return l }
func (l *stepLog) WithGroup(string) slog.Handler            { return l }
func (l *stepLog) Handle(_ context.Context, r slog.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	return nil
}

// hedgeRoutes are routes of the test catalog of virtual fleets besides testRoutes.
var hedgeRoutes = []catalog.Route{
	{Name: "many", PathPrefix: "/many/", Kind: catalog.Safe, MaxAttempts: 4},
	{Name: "cached", PathPrefix: "/cached/", Kind: catalog.Streaming, MaxAttempts: 2, Resumable: true, CachesPrompts: true},
}

// newVirtualFleet returns a gateway with n servers, which answers as the function says: it gets the number of the server.
func newVirtualFleet(t *testing.T, n int, hedgeRatio float64, answer func(server int, r *http.Request) []part) *virtualFleet {
	c := &catalog.Catalog{
		Version: 1, RequireKeys: true, Limits: catalog.Limits{MaxHeaderBytes: testMaxHeaderBytes},
		Services:      []catalog.Service{{Name: "app", Engine: &catalog.Engine{Backups: true, CacheTransferPerToken: time.Nanosecond}}},
		Organisations: []catalog.Organisation{{Name: "one", Keys: []string{"k"}}},
	}
	for _, r := range append(slices.Clone(testRoutes), hedgeRoutes...) {
		r.Host, r.Timeout = "example.com", 10*time.Second
		r.Targets = []catalog.Target{{Service: "app", Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	f := &virtualFleet{t: t, answer: answer, dir: &fakeDirectory{}, steps: &stepLog{}}
	f.dir.parts.Reset()
	f.dir.index.Store(catalog.NewIndex(c))
	f.gw = New(Config{
		RetryRatio: 0.2, HedgeRatio: hedgeRatio, UsageWindow: time.Second, Dialect: plainDialect{}, Logger: slog.New(f.steps),
		Metrics: telemetry.NewRegistry(telemetry.DefaultMaxSeries),
	}, f.dir)
	f.gw.client = upstream.NewWithDial(f.dial)
	for i := range n {
		f.addServer(i)
	}
	return f
}

// addServer adds the server with a number.
func (f *virtualFleet) addServer(number int) {
	id := "s" + strconv.Itoa(number)
	f.servers = append(f.servers, &virtualServer{answer: func(r *http.Request) []part { return f.answer(number, r) }, order: &f.order})
	f.dir.backends = append(f.dir.backends, &controlpb.BackendServer{
		Id: id, Incarnation: "1", Address: id, Kind: route.KindService, Model: "app", Lifecycle: route.LifecycleReady, Slots: 64,
	})
	f.dir.onChange()
}

func (f *virtualFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	n, err := strconv.Atoi(strings.TrimPrefix(address, "s"))
	if err != nil {
		return nil, err
	}
	server := f.servers[n]
	near, far := net.Pipe()
	go server.serve(far)
	return near, nil
}

// virtualAnswer is what a caller got.
type virtualAnswer struct {
	id      string
	status  int
	verdict string
	body    string
	cut     bool // the gateway broke the answer off
	took    time.Duration
}

// doAs sends a request with an id and waits for its answer.
func (f *virtualFleet) doAs(ctx context.Context, id, method, path string, change ...func(*http.Request)) (a virtualAnswer) {
	r := httptest.NewRequestWithContext(ctx, method, path, nil)
	r.Header.Set("X-Id", id)
	r.Header.Set("X-Key", "k")
	for _, c := range change {
		c(r)
	}
	began := time.Now()
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			a.cut = true
		}
		a.id, a.status, a.verdict, a.body, a.took = id, w.Code, w.Header().Get(headerVerdict), w.Body.String(), time.Since(began)
	}()
	f.gw.ServeHTTP(w, r)
	return a
}

// doMany sends requests at an interval, each whether or not those before are answered.
func (f *virtualFleet) doMany(n int, interval time.Duration, method, path string) []virtualAnswer {
	answers := make([]virtualAnswer, n)
	var all sync.WaitGroup
	for i := range n {
		f.next++
		id := "r" + strconv.Itoa(f.next)
		all.Go(func() { answers[i] = f.doAs(f.t.Context(), id, method, path) })
		time.Sleep(interval)
	}
	all.Wait()
	return answers
}

// sendsOf returns the sends of a request, in their order.
func (f *virtualFleet) sendsOf(id string) []*virtualSend {
	var out []*virtualSend
	for _, s := range f.servers {
		for _, send := range s.sends() {
			if send.request.Header.Get("X-Id") == id {
				out = append(out, send)
			}
		}
	}
	slices.SortFunc(out, func(a, b *virtualSend) int { return cmp.Compare(a.number, b.number) })
	return out
}

// sendCount returns the number of sends of all requests.
func (f *virtualFleet) sendCount() int {
	n := 0
	for _, s := range f.servers {
		n += len(s.sends())
	}
	return n
}

// checkNothingLeft returns an error if a request is in flight by the route table, or a connection is open.
func (f *virtualFleet) checkNothingLeft() error {
	time.Sleep(crashCheckDelay + time.Second)
	synctest.Wait()
	for _, state := range f.gw.servers.States() {
		if state.InFlight != 0 || state.SilentFor != 0 {
			return fmt.Errorf("server %s: %d in flight, silent for %v", state.ID, state.InFlight, state.SilentFor)
		}
	}
	for i, s := range f.servers {
		for _, send := range s.sends() {
			if send.closed().IsZero() {
				return fmt.Errorf("server %d: the connection of request %s is open", i, send.request.Header.Get("X-Id"))
			}
		}
	}
	return nil
}

// counter returns the value of a counter of the gateway.
func (f *virtualFleet) counter(name string, labels ...telemetry.Label) int64 {
	return f.gw.cfg.Metrics.Counter(name, labels...).Count()
}

func (f *virtualFleet) hedgeCount(class, result string) int64 {
	return f.counter(metricHedges, telemetry.Label{Name: "class", Value: class}, telemetry.Label{Name: "result", Value: result})
}

func (f *virtualFleet) noHedgeCount(class, reason string) int64 {
	return f.counter(metricNoHedge, telemetry.Label{Name: "class", Value: class}, telemetry.Label{Name: "reason", Value: reason})
}

// billed returns the number of requests that were counted for billing.
func (f *virtualFleet) billed() uint64 {
	f.gw.usage.Flush(context.Background())
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	got := uint64(0)
	for _, counter := range f.dir.usage {
		got += counter.Requests
	}
	return got
}
