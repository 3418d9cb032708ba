package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/keys"
	"github.com/guavastack/guavastack/internal/platform"
	"github.com/guavastack/guavastack/internal/standin/engine"
	standinplatform "github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/internal/standin/service"
)

const (
	controlMembers = 3
	pollInterval   = 10 * time.Millisecond
)

const clusterDocument = `{
  "defaults": {"deadline": "60s", "first_token_target": "5s", "between_token_target": "1s", "attempts": 3, "repeatable": true},
  "classes": {"fast": {"tier": 0}, "slow": {"tier": 2}},
  "organisations": {"camurca": {}, "fjordslag": {}},
  "routes": [
    {"prefix": "/services/orders", "service": "orders", "class": "fast"},
    {"prefix": "/services/stock", "service": "orders", "class": "slow", "open": true, "repeatable": true},
  ],
}`

// clusters numbers the clusters of this test process, so that each has loopback addresses of its own.
var clusters atomic.Int32

// cluster is a whole system of real processes on loopback addresses; the stand-ins run in the test's own process.
type cluster struct {
	t        *testing.T
	dir      string
	network  string // first three bytes of the processes' addresses
	token    string
	procs    map[string]*proc
	engines  map[string]*engine.Engine
	service  *service.Service
	platform *standinplatform.Standin
	http     *http.Client
	key      adminapi.CreatedKey
}

// proc is one process of the cluster.
type proc struct {
	name   string
	role   string
	addr   string // of its main listener
	status string
	file   string
	cmd    *exec.Cmd
	log    *bytes.Buffer
}

func newCluster(t *testing.T, engines int) *cluster {
	t.Helper()
	c := &cluster{
		t:        t,
		dir:      t.TempDir(),
		network:  fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, clusters.Add(1)),
		token:    keys.NewToken(),
		procs:    make(map[string]*proc),
		engines:  make(map[string]*engine.Engine),
		service:  service.New(),
		platform: standinplatform.New(standinplatform.Config{Zones: []platform.Zone{{Name: "a", PricePerHour: 1}}}),
		http:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(c.end)
	platformURL := c.serve(c.platform.Handler())
	for i := 1; i <= controlMembers; i++ {
		c.addControl(i, platformURL)
	}
	for i := 1; i <= engines; i++ {
		e := engine.New(engine.Config{Model: "m", TokenInterval: 2 * time.Millisecond})
		name := fmt.Sprintf("engine-%d", i)
		c.engines[name] = e
		c.addAgent(name, 20+i, fmt.Sprintf(`{"kind": "engine", "url": %q, "model": "m", "slots": 8}`, c.serve(e)))
	}
	c.addAgent("orders-1", 40, fmt.Sprintf(`{"kind": "service", "url": %q, "service": "orders", "slots": 8}`, c.serve(c.service)))
	for i := 1; i <= 2; i++ {
		c.addEntry(i)
	}
	c.startAll()
	return c
}

// serve serves a stand-in in this process.
func (c *cluster) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	c.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

func (c *cluster) ip(host int) string { return fmt.Sprintf("%s.%d", c.network, host) }

// add writes the settings file of a process.
func (c *cluster) add(name, role string, host int, port int, settings string) {
	p := &proc{
		name: name, role: role, log: &bytes.Buffer{},
		addr:   fmt.Sprintf("%s:%d", c.ip(host), port),
		status: c.ip(host) + ":9090",
		file:   filepath.Join(c.dir, name+".json"),
	}
	var members []string
	for i := 1; i <= controlMembers; i++ {
		members = append(members, fmt.Sprintf("%q", c.ip(i)+":7000"))
	}
	text := fmt.Sprintf(`{"id": %q, "zone": "a", "log": {"level": "info"}, "status_listen": %q, "control_members": [%s], %q: %s}`,
		name, p.status, strings.Join(members, ", "), role, settings)
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.procs[name] = p
}

func (c *cluster) addControl(i int, platformURL string) {
	var peers []string
	for j := 1; j <= controlMembers; j++ {
		peers = append(peers, fmt.Sprintf(`{"id": %d, "address": "%s:7000"}`, j, c.ip(j)))
	}
	c.add(fmt.Sprintf("control-%d", i), "control", i, 7000, fmt.Sprintf(`{
	  "member": %d, "group": 1, "listen": "%s:7000", "data": %q, "peers": [%s],
	  "admin": {"listen": "%s:8081", "tokens": [{"name": "op", "role": "administer", "sha256": %q}]},
	  "platform": {"url": %q, "window_length": "1s"}}`,
		i, c.ip(i), filepath.Join(c.dir, fmt.Sprintf("data-%d", i)), strings.Join(peers, ", "), c.ip(i), keys.Hash(c.token), platformURL))
}

func (c *cluster) addAgent(name string, host int, backend string) {
	c.add(name, "agent", host, 7100, fmt.Sprintf(`{"listen": "%s:7100", "backend": %s}`, c.ip(host), backend))
}

func (c *cluster) addEntry(i int) {
	host := 10 + i
	c.add(fmt.Sprintf("entry-%d", i), "entry", host, 8080, fmt.Sprintf(`{"listen": "%s:8080", "drain_delay": "300ms"}`, c.ip(host)))
}

// names returns the processes of a role in order.
func (c *cluster) names(role string) []string {
	var out []string
	for _, prefix := range []string{"control-", "engine-", "orders-", "entry-"} {
		for i := 1; i <= len(c.procs); i++ {
			name := fmt.Sprintf("%s%d", prefix, i)
			if p, ok := c.procs[name]; ok && (role == "" || p.role == role) {
				out = append(out, name)
			}
		}
	}
	return out
}

// start starts a process.
func (c *cluster) start(name string) {
	c.t.Helper()
	p := c.procs[name]
	p.cmd = command(p.role, "--config", p.file)
	p.log.Reset()
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// kill ends a process at once.
func (c *cluster) kill(name string) {
	p := c.procs[name]
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// stop ends a process gracefully; it must exit with 0.
func (c *cluster) stop(name string) {
	c.t.Helper()
	p := c.procs[name]
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		c.t.Errorf("%s ended with %v; its log:\n%s", name, err, p.log)
	}
	p.cmd = nil
}

func (c *cluster) signal(name string, s syscall.Signal) {
	if err := c.procs[name].cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) end() {
	for name, p := range c.procs {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			c.kill(name)
		}
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", name, tail(p.log.String(), 2000))
		}
	}
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// startAll starts everything, puts the settings in force and creates a key.
func (c *cluster) startAll() {
	c.t.Helper()
	for _, name := range c.names("") {
		c.start(name)
	}
	c.waitReady(c.names("control")...)
	ctx := context.Background()
	c.until("settings", func() bool {
		_, err := c.admin().PutSettings(ctx, clusterDocument, adminclient.Options{IfMatch: "*", ChangeID: "document"})
		return err == nil
	})
	c.until("key", func() bool {
		k, err := c.admin().CreateKey(ctx, "camurca", adminapi.NewKey{}, adminclient.Options{})
		c.key = k
		return err == nil
	})
	c.waitReady(c.names("")...)
	c.until("backend servers at the entries", func() bool {
		for _, e := range c.names("entry") {
			if !strings.Contains(c.get(e, "/v1/models"), `"m"`) || !c.order(e, "warm-up", "").ok {
				return false
			}
		}
		return true
	})
}

// admin returns a client of some control member that runs.
func (c *cluster) admin() *adminclient.Client {
	for _, name := range c.names("control") {
		if c.isReady(name) {
			return adminclient.New("http://"+strings.Replace(c.procs[name].addr, ":7000", ":8081", 1), c.token, c.http)
		}
	}
	return adminclient.New("http://"+c.ip(1)+":8081", c.token, c.http)
}

// until waits for a condition; the test runner's time limit ends one that never comes.
func (c *cluster) until(what string, cond func() bool) {
	c.t.Helper()
	start := time.Now()
	for !cond() {
		time.Sleep(pollInterval)
		if time.Since(start) > 2*time.Minute {
			c.t.Fatalf("waited in vain for: %s", what)
		}
	}
}

func (c *cluster) isReady(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.procs[name].status+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) waitReady(names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.until(name+" ready", func() bool { return c.isReady(name) })
	}
}

// reply is what a caller got.
type reply struct {
	ok      bool // status 200 and the whole body
	status  int
	body    string
	verdict string
	err     error // of the connection
}

// request sends one request to an entry and reads the answer.
func (c *cluster) request(entry, method, path, body string, headers map[string]string) reply {
	req, err := http.NewRequest(method, "http://"+c.procs[entry].addr+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{
		ok: err == nil && resp.StatusCode == http.StatusOK, status: resp.StatusCode,
		body: string(data), verdict: resp.Header.Get("X-Guavastack-Verdict"), err: err,
	}
}

func (c *cluster) auth() map[string]string {
	return map[string]string{"Authorization": "Bearer " + c.key.Secret}
}

func (c *cluster) get(entry, path string) string {
	return c.request(entry, http.MethodGet, path, "", c.auth()).body
}

// chatBody asks for a streamed answer of n tokens.
func chatBody(n int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, n)
}

// chat asks for a streamed answer; it is whole if it ends in [DONE].
func (c *cluster) chat(entry string, n int) reply {
	r := c.request(entry, http.MethodPost, "/v1/chat/completions", chatBody(n), c.auth())
	r.ok = r.ok && strings.HasSuffix(r.body, "data: [DONE]\n\n")
	return r
}

// order places a reservation.
func (c *cluster) order(entry, body, idempotencyKey string) reply {
	h := c.auth()
	if idempotencyKey != "" {
		h["Idempotency-Key"] = idempotencyKey
	}
	return c.request(entry, http.MethodPost, "/services/orders", body, h)
}

// arrivals returns how often a body has arrived at the service.
func (c *cluster) arrivals(body string) int {
	sum := sha256.Sum256([]byte(body))
	return c.service.Arrivals()[hex.EncodeToString(sum[:])]
}

// openStream starts a long streamed answer and returns once its first event is here.
func (c *cluster) openStream(entry string) (*http.Response, *bufio.Reader) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.procs[entry].addr+"/v1/chat/completions", strings.NewReader(chatBody(20_000)))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key.Secret)
	resp, err := c.http.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = resp.Body.Close() })
	r := bufio.NewReader(resp.Body)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		c.t.Fatalf("first line %q, error %v", line, err)
	}
	return resp, r
}

// balancer sends callers to entries that are ready, as the platform's balancer does: it looks at readiness now and then
// and goes on to the next entry when a connection is refused.
type balancer struct {
	c     *cluster
	ready [2]atomic.Bool
	next  atomic.Int32
	stop  chan struct{}
	done  sync.WaitGroup
}

func newBalancer(c *cluster) *balancer {
	b := &balancer{c: c, stop: make(chan struct{})}
	for i := range b.ready {
		b.ready[i].Store(true)
		b.done.Go(func() { b.watch(i) })
	}
	return b
}

func (b *balancer) watch(i int) {
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(pollInterval):
			b.ready[i].Store(b.c.isReady(fmt.Sprintf("entry-%d", i+1)))
		}
	}
}

func (b *balancer) close() {
	close(b.stop)
	b.done.Wait()
}

// chat sends a chat request to a ready entry.
func (b *balancer) chat(n int) reply {
	for {
		i := int(b.next.Add(1)) % len(b.ready)
		if !b.ready[i].Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		r := b.c.chat(fmt.Sprintf("entry-%d", i+1), n)
		if r.err != nil && strings.Contains(r.err.Error(), "connection refused") {
			continue
		}
		return r
	}
}
