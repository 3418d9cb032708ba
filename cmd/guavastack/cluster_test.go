package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/localcluster"
	"github.com/guavastack/guavastack/internal/standin/engine"
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

// cluster is a complete system of separate processes that a test can kill, suspend and restart.
type cluster struct {
	*localcluster.Cluster
	t   *testing.T
	key adminapi.CreatedKey // key of the organisation camurca
}

func newCluster(t *testing.T, engines int) *cluster {
	t.Helper()
	lc, err := localcluster.New(localcluster.Config{
		Command: guavastackCommand, Dir: t.TempDir(), Zones: []string{"a"}, Control: 3, Entries: 2, Engines: engines, Services: 1,
		Engine: engine.Config{TokenInterval: 2 * time.Millisecond, Slots: 8}, Slots: 8,
		Window: time.Second, Document: clusterDocument, DrainDelay: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{Cluster: lc, t: t}
	t.Cleanup(c.cleanUp)
	ctx := context.Background()
	c.must(c.StartAll(ctx))
	c.key, err = c.CreateKey(ctx, "camurca")
	c.must(err)
	c.waitUntil("responses from all entries", func() bool {
		for _, e := range c.Names(localcluster.RoleEntry) {
			if !c.chat(e, 1).ok || !c.placeOrder(e, "warm-up", "").ok {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// cleanUp stops the processes, and logs the end of their output if the test failed.
func (c *cluster) cleanUp() {
	c.Close()
	if !c.t.Failed() {
		return
	}
	for _, name := range c.Names("") {
		c.t.Logf("log of %s:\n%s", name, tail(c.Log(name), 2000))
	}
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (c *cluster) waitUntil(what string, cond func() bool) {
	c.t.Helper()
	c.must(localcluster.WaitUntil(what, cond))
}

// restart starts a killed or stopped process and waits until it is ready.
func (c *cluster) restart(name string) {
	c.t.Helper()
	c.must(c.Start(name))
	c.must(c.WaitReady(name))
}

func (c *cluster) signalAll(role string, s syscall.Signal) {
	c.t.Helper()
	for _, name := range c.Names(role) {
		c.must(c.Signal(name, s))
	}
}

// response is the result of a caller's request.
type response struct {
	ok      bool // status 200 and a complete body
	status  int
	body    string
	verdict string
	err     error // connection error
}

// request sends one request to an entry and reads the whole response.
func (c *cluster) request(entry, method, path, body string, headers map[string]string) response {
	req, err := http.NewRequest(method, c.URL(entry)+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{
		ok: err == nil && resp.StatusCode == http.StatusOK, status: resp.StatusCode,
		body: string(data), verdict: resp.Header.Get("X-Guavastack-Verdict"), err: err,
	}
}

func (c *cluster) authHeaders() map[string]string {
	return map[string]string{"Authorization": "Bearer " + c.key.Secret}
}

// chatBody returns the body of a chat request for a streamed response of n tokens.
func chatBody(n int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, n)
}

// chat sends a chat request for a streamed response of n tokens. The response is ok only if it ends with [DONE].
func (c *cluster) chat(entry string, n int) response {
	r := c.request(entry, http.MethodPost, "/v1/chat/completions", chatBody(n), c.authHeaders())
	r.ok = r.ok && strings.HasSuffix(r.body, "data: [DONE]\n\n")
	return r
}

// placeOrder sends a request to the service orders.
func (c *cluster) placeOrder(entry, body, idempotencyKey string) response {
	h := c.authHeaders()
	if idempotencyKey != "" {
		h["Idempotency-Key"] = idempotencyKey
	}
	return c.request(entry, http.MethodPost, "/services/orders", body, h)
}

// bodyDigest returns the key under which the stand-in service counts a request body.
func bodyDigest(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}

// arrivals returns how often the service received a request body.
func (c *cluster) arrivals(body string) int { return c.Services[0].Arrivals()[bodyDigest(body)] }

// openStream starts a streamed response of 20,000 tokens and returns it after its first event.
func (c *cluster) openStream(entry string) *bufio.Reader {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, c.URL(entry)+"/v1/chat/completions", strings.NewReader(chatBody(20_000)))
	c.must(err)
	req.Header.Set("Authorization", "Bearer "+c.key.Secret)
	resp, err := c.HTTP.Do(req)
	c.must(err)
	c.t.Cleanup(func() { _ = resp.Body.Close() })
	r := bufio.NewReader(resp.Body)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		c.t.Fatalf("got first line %q, error %v, want an event", line, err)
	}
	return r
}

// leader returns the name of the leading control member.
func (c *cluster) leader() string {
	c.t.Helper()
	var leader string
	c.waitUntil("a leader", func() bool {
		st, err := c.Admin().Status(context.Background(), "", 0)
		leader = st.Leader
		return err == nil && leader != "" && st.Confirmed
	})
	return "control-" + leader
}

// balancerPoll is the polling interval of the entries' readiness.
const balancerPoll = 10 * time.Millisecond

// balancer distributes requests over the ready entries like the platform's load balancer: it polls their readiness and retries
// at the next entry if a connection is refused.
type balancer struct {
	c       *cluster
	entries []string
	ready   []atomic.Bool
	next    atomic.Int32
	stop    chan struct{}
	done    sync.WaitGroup
}

func newBalancer(c *cluster) *balancer {
	b := &balancer{c: c, entries: c.Names(localcluster.RoleEntry), stop: make(chan struct{})}
	b.ready = make([]atomic.Bool, len(b.entries))
	for i := range b.entries {
		b.ready[i].Store(true)
		b.done.Go(func() { b.pollReadiness(i) })
	}
	return b
}

func (b *balancer) pollReadiness(i int) {
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(balancerPoll):
			b.ready[i].Store(b.c.IsReady(b.entries[i]))
		}
	}
}

func (b *balancer) close() {
	close(b.stop)
	b.done.Wait()
}

// chat sends a chat request to the next ready entry.
func (b *balancer) chat(n int) response {
	for {
		i := int(b.next.Add(1)) % len(b.entries)
		if !b.ready[i].Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		r := b.c.chat(b.entries[i], n)
		if r.err != nil && strings.Contains(r.err.Error(), "connection refused") {
			continue
		}
		return r
	}
}
