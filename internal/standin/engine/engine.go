// Package engine is a stand-in for a model engine with an OpenAI-compatible interface.
//
// It batches continuously: speed falls with the number of requests that run. Its tokens are a function of the prompt,
// so that a resumed answer can be compared with a whole one. Faults are switched on with POST /faults.
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
	// prefixBlockTokens is the length of a prompt prefix that the cache holds as one entry.
	prefixBlockTokens = 16
	// resumeGrace is how long a request runs on without a connection.
	resumeGrace = 5 * time.Second
	// keptJobs bounds the finished requests that can still be resumed.
	keptJobs = 1024
	// maxBodyBytes bounds a request.
	maxBodyBytes = 32 << 20
)

// Config holds the settings of an Engine. Zero values take their defaults.
type Config struct {
	Model          string
	Version        string
	Adapters       []string
	Slots          int           // requests that run at the same time
	TokenInterval  time.Duration // between the tokens of a request that runs alone
	BatchSlowdown  float64       // growth of the interval with each further request
	PrefillPerTok  time.Duration // for each prompt token that is not cached
	CacheBlocks    int           // prompt prefixes in the cache
	LoadLag        time.Duration // age of load reports
	ChecksFencing  bool          // refuses orders with an old fencing number
	DefaultMaxToks int           // length of an answer when the request names none
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
	if c.DefaultMaxToks <= 0 {
		c.DefaultMaxToks = 16
	}
	return c
}

// Engine is an http.Handler.
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
	crashes chan struct{} // closed and replaced by each crash
}

// New returns an Engine.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	cache, _ := lru.New[uint64, struct{}](cfg.CacheBlocks) // the size is positive
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
	e.mux.HandleFunc("POST /orders", e.takeOrder)
	e.mux.HandleFunc("POST /faults", e.addFault)
	e.mux.HandleFunc("DELETE /faults", e.clearFaults)
	return e
}

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	e.mux.ServeHTTP(w, r)
}

// request is the part of a completion request that matters here.
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

func (r *request) prompt() []string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + " " + string(m.Content) + " ")
	}
	b.Write(r.Prompt)
	b.Write(r.Input)
	return strings.Fields(b.String())
}

// job is one request as the engine runs it. All fields but the constants are guarded by Engine.mu.
type job struct {
	id       string
	owner    string
	chat     bool
	request  request
	seed     uint64
	priority int
	prompt   int
	cached   int
	length   int

	tokens    int
	active    bool // holds or awaits a slot
	slotted   bool
	cancelled bool
	readers   int
	changed   chan struct{}   // closed and replaced when tokens or active change
	crashed   <-chan struct{} // closed by the crash that forgets the job
	admitted  chan struct{}   // closed when the job gets its slot
	faults    []*Fault
}

// finished reports whether all tokens exist.
func (j *job) finished() bool { return j.tokens >= j.length }

// token returns the nth piece of the answer.
func (j *job) token(n int) string {
	return words[(j.seed+uint64(n)*2654435761)%uint64(len(words))] + " "
}

var words = []string{
	"hide", "loft", "ring", "chamois", "counter", "harbour", "pigeon", "ledger", "wind", "stock", "north", "arrival",
}

func (e *Engine) newJob(r *http.Request, req request) *job {
	prompt := req.prompt()
	j := &job{
		id:      r.Header.Get("X-Request-Id"),
		owner:   r.Header.Get("X-Request-Owner"),
		chat:    strings.HasSuffix(r.URL.Path, "/chat/completions"),
		request: req,
		seed:    xxhash.Sum64String(strings.Join(prompt, " ")),
		prompt:  len(prompt),
		length:  max(req.MaxTokens, req.MaxCompletionTokens),
		changed: make(chan struct{}),
	}
	_ = json.Unmarshal([]byte(r.Header.Get("X-Request-Priority")), &j.priority) // absent: highest
	if j.length == 0 {
		j.length = e.cfg.DefaultMaxToks
	}
	j.cached = e.cachedTokens(prompt)
	return j
}

// cachedTokens returns how much of the prompt the cache holds, and puts all of it in.
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

// begin registers j and starts its generation. A job of the same id is replaced.
func (e *Engine) begin(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.id != "" {
		if old := e.jobs[j.id]; old != nil {
			e.stop(old)
		} else {
			e.order = append(e.order, j.id)
		}
		e.jobs[j.id] = j
		e.dropOldJobs()
	}
	j.faults = e.takeFaults()
	e.launch(j, time.Duration(j.prompt-j.cached)*e.cfg.PrefillPerTok)
}

// launch queues j for a slot and generates. The caller holds e.mu.
func (e *Engine) launch(j *job, prefill time.Duration) {
	j.active = true
	j.cancelled = false
	j.admitted = make(chan struct{})
	e.waiting = append(e.waiting, j)
	e.admit()
	j.crashed = e.crashes
	go e.generate(j, prefill, j.crashed)
}

// dropOldJobs forgets the oldest inactive jobs. The caller holds e.mu.
func (e *Engine) dropOldJobs() {
	for i := 0; len(e.order) > keptJobs && i < len(e.order); {
		if j := e.jobs[e.order[i]]; j != nil && j.active {
			i++
			continue
		}
		delete(e.jobs, e.order[i])
		e.order = append(e.order[:i], e.order[i+1:]...)
	}
}

// admit gives free slots to the waiting jobs of the highest priority. The caller holds e.mu.
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
		j.slotted = true
		e.running++
		close(j.admitted)
	}
}

// stop takes j out of the batch; its tokens stay. The caller holds e.mu.
func (e *Engine) stop(j *job) {
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
	if j.slotted {
		j.slotted = false
		e.running--
	}
	e.admit()
	e.notify(j)
}

// notify wakes the connections that read j. The caller holds e.mu.
func (e *Engine) notify(j *job) {
	close(j.changed)
	j.changed = make(chan struct{})
}

// generate makes the tokens of j one by one.
func (e *Engine) generate(j *job, prefill time.Duration, crashed <-chan struct{}) {
	e.mu.Lock()
	admitted := j.admitted
	e.mu.Unlock()
	if !e.await(j, admitted, crashed) {
		return
	}
	if !pause(prefill, crashed) {
		return
	}
	for {
		d, ok := e.interval(j)
		if !ok {
			return
		}
		if !pause(d, crashed) || !e.step(j) {
			return
		}
	}
}

// await waits for the slot of j.
func (e *Engine) await(j *job, admitted, crashed <-chan struct{}) bool {
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

// interval returns the time to the next token of j; false when it is over or stalled.
func (e *Engine) interval(j *job) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.active || j.fault(Stall, j.tokens) != nil {
		return 0, false
	}
	d := time.Duration(float64(e.cfg.TokenInterval) * (1 + e.cfg.BatchSlowdown*float64(e.running-1)))
	if f := j.fault(Slow, j.tokens); f != nil {
		d += time.Duration(f.DelayMs) * time.Millisecond
	}
	return d, true
}

// step adds a token and reports whether more are to come.
func (e *Engine) step(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.active {
		return false
	}
	j.tokens++
	e.notify(j)
	if j.finished() {
		e.stop(j)
	}
	return j.active
}

// pause waits for d and reports whether the engine lives on.
func pause(d time.Duration, crashed <-chan struct{}) bool {
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

// attach counts a connection that reads j, and leave ends the job some time after the last one has gone.
func (e *Engine) attach(j *job) (leave func()) {
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
		e.stop(j)
	}
}

// next waits until j has a token beyond have or is over, and returns the tokens it has.
func (e *Engine) next(ctx context.Context, j *job, have int) (tokens int, over bool, err error) {
	for {
		e.mu.Lock()
		tokens, over = j.tokens, !j.active
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
