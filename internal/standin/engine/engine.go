// Package engine is a stand-in for a model engine with an OpenAI-compatible interface.
//
// It simulates continuous batching: the token interval grows with the number of running requests. Its output is a
// deterministic function of the prompt, so that a resumed response can be compared with an uninterrupted one. Faults are
// injected with POST /faults.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// prefixBlockTokens is the block size of the prefix cache: it has one entry per prefix of a multiple of this length.
	prefixBlockTokens = 16
	// resumeGrace is how long a request continues to run after its last connection has closed.
	resumeGrace = 5 * time.Second
	// maxRetainedJobs bounds the retained requests, which include finished ones that can still be resumed.
	maxRetainedJobs = 1024
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 32 << 20
)

// Config configures an Engine. Zero values of Model, Version, Slots, CacheBlocks and DefaultMaxTokens mean their defaults.
type Config struct {
	Model            string
	Version          string
	Adapters         []string
	Slots            int           // batch size: maximum number of requests that run at the same time
	TokenInterval    time.Duration // between the tokens of a request that is alone in the batch
	BatchSlowdown    float64       // relative growth of the interval with each further request in the batch
	PrefillPerToken  time.Duration // time per prompt token that is not in the prefix cache
	CacheBlocks      int           // capacity of the prefix cache in blocks
	LoadReportDelay  time.Duration // minimum age of the reports that GET /load returns, if there is an old enough one
	ChecksFencing    bool          // refuse orders with a stale fencing token
	DefaultMaxTokens int           // output length when the request does not set one
}

func (c Config) withDefaults() Config {
	if c.Model == "" {
		c.Model = "standin"
	}
	if c.Version == "" {
		c.Version = "1"
	}
	if c.Slots <= 0 {
		c.Slots = 8
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = 1024
	}
	if c.DefaultMaxTokens <= 0 {
		c.DefaultMaxTokens = 16
	}
	return c
}

// Engine is a stand-in for a model engine and an http.Handler. It is safe for concurrent use.
type Engine struct {
	cfg   Config
	mux   *http.ServeMux
	cache *lru.Cache[uint64, struct{}]

	mu      sync.Mutex
	jobs    map[string]*job
	order   []string // ids of jobs, oldest first
	waiting []*job
	running int
	faults  []*Fault
	fencing uint64
	models  map[string]bool
	reports []loadReport
	crashes chan struct{} // closed and replaced at each crash
}

// New returns an Engine.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	cache, _ := lru.New[uint64, struct{}](cfg.CacheBlocks) // cannot fail, because the size is positive
	e := &Engine{
		cfg:     cfg,
		mux:     http.NewServeMux(),
		cache:   cache,
		jobs:    make(map[string]*job),
		models:  map[string]bool{cfg.Model: true},
		crashes: make(chan struct{}),
	}
	for _, a := range cfg.Adapters {
		e.models[a] = true
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/embeddings", e.embed)
	e.mux.HandleFunc("GET /v1/models", e.listModels)
	e.mux.HandleFunc("POST /cancel", e.cancel)
	e.mux.HandleFunc("GET /resume", e.resume)
	e.mux.HandleFunc("GET /running", e.listRunning)
	e.mux.HandleFunc("GET /load", e.reportLoad)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("POST /faults", e.addFault)
	e.mux.HandleFunc("DELETE /faults", e.clearFaults)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	e.mux.ServeHTTP(w, r)
}

// request is the supported part of a completion or embedding request.
type request struct {
	Model         string          `json:"model"`
	Messages      []message       `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Input         json.RawMessage `json:"input"`
	Stream        bool            `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt returns the whitespace-separated words of the input; each counts as one token.
func (r *request) prompt() []string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + " " + string(m.Content) + " ")
	}
	b.Write(r.Prompt)
	b.Write(r.Input)
	return strings.Fields(b.String())
}

// job is one request in the engine. The fields of the first group are constant, the others are guarded by Engine.mu.
type job struct {
	id           string
	owner        string
	chat         bool
	request      request
	seed         uint64
	priority     int
	promptTokens int
	cachedTokens int
	outputTokens int

	generated int
	active    bool // has a slot or waits for one
	hasSlot   bool
	cancelled bool
	readers   int
	changed   chan struct{}   // closed and replaced when generated or active change
	crashed   <-chan struct{} // closed by the crash that drops the job
	admitted  chan struct{}   // closed when the job gets a slot
	faults    []*Fault
}

// finished reports whether all tokens have been generated.
func (j *job) finished() bool { return j.generated >= j.outputTokens }

// token returns the nth token of the output.
func (j *job) token(n int) string {
	return words[(j.seed+uint64(n)*2654435761)%uint64(len(words))] + " "
}

var words = []string{
	"hide", "loft", "ring", "chamois", "counter", "harbour", "pigeon", "ledger", "wind", "stock", "north", "arrival",
}

func (e *Engine) newJob(r *http.Request, req request) *job {
	prompt := req.prompt()
	j := &job{
		id:           r.Header.Get("X-Request-Id"),
		owner:        r.Header.Get("X-Request-Owner"),
		chat:         strings.HasSuffix(r.URL.Path, "/chat/completions"),
		request:      req,
		seed:         xxhash.Sum64String(strings.Join(prompt, " ")),
		promptTokens: len(prompt),
		outputTokens: max(req.MaxTokens, req.MaxCompletionTokens),
		changed:      make(chan struct{}),
	}
	_ = json.Unmarshal([]byte(r.Header.Get("X-Request-Priority")), &j.priority) // absent or invalid: 0, the highest priority
	if j.outputTokens == 0 {
		j.outputTokens = e.cfg.DefaultMaxTokens
	}
	j.cachedTokens = e.cachedTokens(prompt)
	return j
}

// cachedTokens returns the length of the cached prefix of a prompt, and adds all blocks of the prompt to the cache.
func (e *Engine) cachedTokens(prompt []string) int {
	digest := xxhash.New()
	cached, hit := 0, true
	for i := prefixBlockTokens; i <= len(prompt); i += prefixBlockTokens {
		_, _ = digest.WriteString(strings.Join(prompt[i-prefixBlockTokens:i], " "))
		if hit = hit && e.cache.Contains(digest.Sum64()); hit {
			cached = i
		}
		e.cache.Add(digest.Sum64(), struct{}{})
	}
	return cached
}

// startJob registers j and queues it for generation. A job with the same id is stopped and replaced.
func (e *Engine) startJob(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.id != "" {
		if old := e.jobs[j.id]; old != nil {
			e.stopJob(old)
		} else {
			e.order = append(e.order, j.id)
		}
		e.jobs[j.id] = j
		e.evictOldJobs()
	}
	j.faults = e.claimFaults()
	e.runJob(j, time.Duration(j.promptTokens-j.cachedTokens)*e.cfg.PrefillPerToken)
}

// runJob queues j for a slot and starts the goroutine that generates its tokens. The caller holds e.mu.
func (e *Engine) runJob(j *job, prefill time.Duration) {
	j.active = true
	j.cancelled = false
	j.admitted = make(chan struct{})
	e.waiting = append(e.waiting, j)
	e.admit()
	j.crashed = e.crashes
	go e.generate(j, prefill, j.crashed)
}

// evictOldJobs removes the oldest inactive jobs above maxRetainedJobs. The caller holds e.mu.
func (e *Engine) evictOldJobs() {
	for i := 0; len(e.order) > maxRetainedJobs && i < len(e.order); {
		if j := e.jobs[e.order[i]]; j != nil && j.active {
			i++
			continue
		}
		delete(e.jobs, e.order[i])
		e.order = append(e.order[:i], e.order[i+1:]...)
	}
}

// admit assigns free slots to waiting jobs, highest priority first. The caller holds e.mu.
func (e *Engine) admit() {
	for e.running < e.cfg.Slots && len(e.waiting) > 0 {
		best := 0
		for i, j := range e.waiting {
			if j.priority < e.waiting[best].priority {
				best = i
			}
		}
		j := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		j.hasSlot = true
		e.running++
		close(j.admitted)
	}
}

// stopJob removes j from the batch or the queue, but keeps it and its tokens for a resume. The caller holds e.mu.
func (e *Engine) stopJob(j *job) {
	if !j.active {
		return
	}
	j.active = false
	j.cancelled = !j.finished()
	for i, w := range e.waiting {
		if w == j {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	if j.hasSlot {
		j.hasSlot = false
		e.running--
	}
	e.admit()
	e.notify(j)
}

// notify wakes all goroutines that wait for a change of j. The caller holds e.mu.
func (e *Engine) notify(j *job) {
	close(j.changed)
	j.changed = make(chan struct{})
}

// generate waits for a slot, simulates the prefill and generates the tokens of j one by one, until j ends or the engine
// crashes.
func (e *Engine) generate(j *job, prefill time.Duration, crashed <-chan struct{}) {
	e.mu.Lock()
	admitted := j.admitted
	e.mu.Unlock()
	if !e.awaitSlot(j, admitted, crashed) {
		return
	}
	if !sleep(prefill, crashed) {
		return
	}
	for {
		d, ok := e.tokenInterval(j)
		if !ok {
			return
		}
		if !sleep(d, crashed) || !e.addToken(j) {
			return
		}
	}
}

// awaitSlot waits until j has a slot. It returns false if j was stopped or the engine crashed before.
func (e *Engine) awaitSlot(j *job, admitted, crashed <-chan struct{}) bool {
	for {
		e.mu.Lock()
		changed, active := j.changed, j.active
		e.mu.Unlock()
		if !active {
			return false
		}
		select {
		case <-admitted:
			return true
		case <-changed:
		case <-crashed:
			return false
		}
	}
}

// tokenInterval returns the time to the next token of j, or false when j has ended or is stalled.
func (e *Engine) tokenInterval(j *job) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.active || j.fault(Stall, j.generated) != nil {
		return 0, false
	}
	d := time.Duration(float64(e.cfg.TokenInterval) * (1 + e.cfg.BatchSlowdown*float64(e.running-1)))
	if f := j.fault(Slow, j.generated); f != nil {
		d += time.Duration(f.DelayMs) * time.Millisecond
	}
	return d, true
}

// addToken adds a token to j and reports whether more tokens follow.
func (e *Engine) addToken(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.active {
		return false
	}
	j.generated++
	e.notify(j)
	if j.finished() {
		e.stopJob(j)
	}
	return j.active
}

// sleep waits for d. It returns false if the engine crashed before.
func sleep(d time.Duration, crashed <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-crashed:
		return false
	}
}

// addReader counts a connection that reads j. The returned function removes it; when it was the last one, the job is stopped
// after resumeGrace unless it has a reader again by then.
func (e *Engine) addReader(j *job) (remove func()) {
	e.mu.Lock()
	j.readers++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		j.readers--
		if j.readers == 0 && j.active {
			time.AfterFunc(resumeGrace, func() { e.stopUnread(j) })
		}
	}
}

func (e *Engine) stopUnread(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.readers == 0 {
		e.stopJob(j)
	}
}

// awaitTokens waits until j has more than have tokens or is no longer active. It returns the number of its tokens and whether it
// is inactive. If the engine crashes, it panics with http.ErrAbortHandler, which closes the connection.
func (e *Engine) awaitTokens(ctx context.Context, j *job, have int) (tokens int, over bool, err error) {
	for {
		e.mu.Lock()
		tokens, over = j.generated, !j.active
		changed, crashed := j.changed, j.crashed
		e.mu.Unlock()
		if tokens > have || over {
			return tokens, over, nil
		}
		select {
		case <-changed:
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			return tokens, over, ctx.Err()
		}
	}
}
