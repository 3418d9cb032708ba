package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// plainDialect is a Dialect with a header of its own for each value.
type plainDialect struct{}

func (plainDialect) ParseCall(h http.Header) (Call, error) {
	if h.Get("X-Id") == "" {
		return Call{}, errors.New("no id")
	}
	ms, _ := strconv.Atoi(h.Get("X-Wait-Ms"))
	call := Call{ID: h.Get("X-Id"), Key: h.Get("X-Key"), Timeout: time.Duration(ms) * time.Millisecond}
	call.Prompt.Tokens, _ = strconv.Atoi(h.Get("X-Prompt"))
	call.Prompt.MaxOutputTokens, _ = strconv.Atoi(h.Get("X-Output"))
	for _, text := range splitList(h.Get("X-Parts")) {
		text, tokens, _ := strings.Cut(text, ":")
		id, _ := strconv.ParseUint(text, 16, 64)
		count, _ := strconv.Atoi(tokens)
		call.Prompt.Parts = append(call.Prompt.Parts, PromptPart{ID: id, Tokens: count})
	}
	return call, nil
}

func (plainDialect) RewriteHeaders(h http.Header, f Forwarding) {
	h.Del("X-Key")
	h.Set("X-Wait-Ms", strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	h.Set("X-Server", f.ServerID)
	h.Set("X-Organisation", f.Organisation)
	if f.ResumeAfter != "" {
		h.Set("X-After", f.ResumeAfter)
	}
	if f.FetchFrom != "" {
		h.Set("X-Fetch", f.FetchFrom)
	}
	if f.BackupTo != "" {
		h.Set("X-Backup", f.BackupTo)
	}
	if f.ContinueFrom != "" {
		h.Set("X-From", f.ContinueFrom)
	}
}

func (plainDialect) ParseReply(status int, h http.Header) Reply {
	limit, _ := strconv.ParseFloat(h.Get("X-Limit"), 64)
	pause, _ := time.ParseDuration(h.Get("X-Pause"))
	cold, coldErr := time.ParseDuration(h.Get("X-Cold"))
	return Reply{
		Load:      parseTestLoad(h.Get("X-Load")),
		RequestID: h.Get("X-Id"), NotRun: h.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
		Signed: h.Get("X-Seal") != "", RateLimit: limit, Leaves: h.Get("X-Leaves") != "", Pause: pause,
		Cold: cold, StatesCold: coldErr == nil,
	}
}

// parseTestLoad parses the running and waiting requests and the slots of a server. It allocates nothing for an empty text, so that benchmarks
// do not count it.
func parseTestLoad(text string) Load {
	if text == "" {
		return Load{}
	}
	var load Load
	_, _ = fmt.Sscanf(text, "%d/%d/%d", &load.Running, &load.Waiting, &load.Slots)
	return load
}

// fakeDirectory is a Directory that the test controls.
type fakeDirectory struct {
	index       atomic.Pointer[catalog.Index]
	stale       atomic.Bool
	unconfirmed atomic.Int64 // nanoseconds
	backends    []*controlpb.BackendServer
	drains      atomic.Pointer[zonedrain.List] // nil: none
	onChange    func()
	onParts     func()

	mu    sync.Mutex
	usage []*controlpb.UsageCounter // of the last report
	parts poison.Module             // list of prompt parts, as the control group holds it
}

func (d *fakeDirectory) Catalog() *catalog.Index              { return d.index.Load() }
func (d *fakeDirectory) Fresh(time.Time) bool                 { return !d.stale.Load() }
func (d *fakeDirectory) FreshFor(time.Time) time.Duration     { return time.Second }
func (d *fakeDirectory) Backends() []*controlpb.BackendServer { return d.backends }
func (d *fakeDirectory) Unconfirmed(time.Time) time.Duration {
	return time.Duration(d.unconfirmed.Load())
}
func (d *fakeDirectory) Wall() time.Time                         { return time.Now() }
func (d *fakeDirectory) LanePlan(string) (*route.LanePlan, bool) { return nil, false }
func (d *fakeDirectory) SetLaneWork(func() []route.ServiceWork)  {}
func (d *fakeDirectory) ZoneDrains() *zonedrain.List {
	if drains := d.drains.Load(); drains != nil {
		return drains
	}
	return &zonedrain.List{}
}
func (d *fakeDirectory) SetPaces(func() []route.PaceReport) {}
func (d *fakeDirectory) Turns() limit.Turns                 { return limit.Turns{Count: 1} }

func (d *fakeDirectory) PromptParts() *poison.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parts.List()
}

func (d *fakeDirectory) ReportPromptParts(_ context.Context, c poison.Command) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	d.mu.Lock()
	_, err = d.parts.Apply(0, state.Command{Body: body, AtMS: time.Now().UnixMilli()})
	d.mu.Unlock()
	d.onParts()
	return err
}

func (d *fakeDirectory) OnPromptParts(f func()) { d.onParts = f }
func (d *fakeDirectory) OnChange(f func())      { d.onChange = f }
func (d *fakeDirectory) OpenWindow() uint64     { return math.MaxUint64 }
func (d *fakeDirectory) ReportUsage(_ context.Context, r *controlpb.UsageReport) (*controlpb.UsageAck, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usage = r.Counters
	return &controlpb.UsageAck{Accepted: true}, nil
}

// backend is a scripted backend server.
type backend struct {
	t      testing.TB
	lis    net.Listener
	script func(r *http.Request, body string) string
	stream func(r *http.Request, conn net.Conn) // answers instead of script, if set

	dropsNew atomic.Bool // closes new connections at once

	mu           sync.Mutex
	seen         []*http.Request
	disconnected chan struct{} // receives a value when a connection is closed during holdAnswer
}

// holdAnswer at the end of a script's text sends nothing more until the gateway closes the connection.
const holdAnswer = "hold"

func newBackend(t testing.TB, script func(r *http.Request, body string) string) *backend {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	b := &backend{t: t, lis: lis, script: script, disconnected: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if b.dropsNew.Load() {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, r)
		b.mu.Unlock()
		if b.stream != nil {
			b.stream(r, conn)
			return
		}
		text := b.script(r, string(body))
		if rest, ok := strings.CutSuffix(text, holdAnswer); ok {
			_, _ = io.WriteString(conn, rest)
			_, _ = io.Copy(io.Discard, reader) // returns when the connection is closed
			b.disconnected <- struct{}{}
			return
		}
		rest, closes := strings.CutSuffix(text, closeAfter)
		if _, err := io.WriteString(conn, rest); err != nil || closes || text == "" {
			return
		}
	}
}

// closeAfter at the end of a script's text closes the connection after the text.
const closeAfter = "close-after"

func (b *backend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// fullAnswer returns a complete answer of a backend server to r.
func fullAnswer(r *http.Request, status int, extra, body string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + extra +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

const seal = "X-Seal: s\r\n"

// streamStart returns the header and some chunks of a streamed answer, without its end.
func streamStart(r *http.Request, pieces ...string) string {
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n")
	for _, p := range pieces {
		out.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n" + p + "\r\n")
	}
	return out.String()
}

const lastChunk = "0\r\n\r\n"

// fixture is a gateway with scripted backend servers.
type fixture struct {
	t    testing.TB
	dir  *fakeDirectory
	gw   *Server
	http *httptest.Server

	servers []*backend
}

// testMaxHeaderBytes is the header limit of the test catalog.
const testMaxHeaderBytes = 4 << 10

// testRoutes are the routes of the test catalog.
var testRoutes = []catalog.Route{
	{Name: "unsafe", PathPrefix: "/unsafe/", Kind: catalog.Unsafe, MaxAttempts: 3},
	{Name: "safe", PathPrefix: "/safe/", Kind: catalog.Safe, MaxAttempts: 2},
	{Name: "stream", PathPrefix: "/stream/", Kind: catalog.Streaming, MaxAttempts: 3},
	{Name: "resume", PathPrefix: "/resume/", Kind: catalog.Streaming, MaxAttempts: 2, Resumable: true},
	{Name: "open", PathPrefix: "/open/", Kind: catalog.Safe, Public: true},
}

func newFixture(t testing.TB, servers ...*backend) *fixture {
	t.Helper()
	c := &catalog.Catalog{
		Version: 1, RequireKeys: true, Limits: catalog.Limits{MaxHeaderBytes: testMaxHeaderBytes},
		Services:      []catalog.Service{{Name: "app", Engine: &catalog.Engine{Backups: true}}},
		Organisations: []catalog.Organisation{{Name: "one", Keys: []string{"k"}}},
	}
	for _, r := range testRoutes {
		r.Host, r.Timeout = "127.0.0.1", time.Minute
		r.Targets = []catalog.Target{{Service: "app", Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	b := &fixture{t: t, dir: &fakeDirectory{}, servers: servers}
	b.dir.parts.Reset()
	b.dir.index.Store(catalog.NewIndex(c))
	for i, s := range servers {
		b.dir.backends = append(b.dir.backends, &controlpb.BackendServer{
			Id: "s" + strconv.Itoa(i), Incarnation: "1", Address: s.lis.Addr().String(), Kind: route.KindService, Model: "app",
			Lifecycle: route.LifecycleReady, Slots: 4,
		})
	}
	b.gw = New(Config{RetryRatio: 1, UsageWindow: time.Second, Dialect: plainDialect{}, Logger: slog.New(slog.DiscardHandler)}, b.dir)
	b.dir.onChange()
	b.http = httptest.NewUnstartedServer(b.gw)
	b.http.Config.MaxHeaderBytes = maxHeaderBytes
	b.http.Start()
	t.Cleanup(b.http.Close)
	return b
}

// do sends a request with the key of organisation one, and returns its answer and body.
func (b *fixture) do(method, path string, change ...func(*http.Request)) (*http.Response, string, error) {
	r, err := http.NewRequest(method, b.http.URL+path, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Key", "k")
	for _, f := range change {
		f(r)
	}
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}
