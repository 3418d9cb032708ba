package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// usage is the usage object of a response.
type usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	TotalTokens      int     `json:"total_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(req.Model) {
		writeError(w, http.StatusNotFound, "model "+req.Model+" is not loaded")
		return
	}
	j := e.newJob(r, req)
	e.startJob(j)
	if j.fault(Reject, j.outputTokens) != nil {
		e.mu.Lock()
		e.stopJob(j)
		e.mu.Unlock()
		writeError(w, http.StatusServiceUnavailable, "engine is overloaded")
		return
	}
	e.respond(w, r, j, 0)
}

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, j *job, from int) {
	defer e.addReader(j)()
	if j.request.Stream {
		e.stream(w, r, j, from)
		return
	}
	e.respondUnstreamed(w, r, j)
}

// stream sends the events of j, starting with the token of index from.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for n := from; ; {
		have, over, err := e.awaitTokens(r.Context(), j, n)
		if err != nil {
			return
		}
		for ; n < have; n++ {
			if e.applyFaults(w, r, j, n) {
				return
			}
			fmt.Fprintf(w, "data: %s\n\n", j.chunk(n))
		}
		flush(w)
		if over {
			break
		}
	}
	if e.applyFaults(w, r, j, j.outputTokens) || !j.finished() {
		return
	}
	if j.request.StreamOptions.IncludeUsage {
		fmt.Fprintf(w, "data: %s\n\n", encode(j.completion(nil, j.usage())))
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// applyFaults applies the faults that are in effect after n tokens, and reports whether the response has ended. Resumed
// connections have no faults.
func (e *Engine) applyFaults(w http.ResponseWriter, r *http.Request, j *job, n int) bool {
	if r.URL.Path == "/resume" {
		return false
	}
	switch {
	case j.fault(Cut, n) != nil:
		flush(w)
		panic(http.ErrAbortHandler)
	case j.fault(Crash, n) != nil:
		flush(w)
		e.Crash()
		panic(http.ErrAbortHandler)
	case j.fault(Silent, n) != nil:
		flush(w)
		<-r.Context().Done()
		return true
	case j.fault(Garbage, n) != nil:
		fmt.Fprint(w, "data: {\"choices\": \xff\xfe oops\n\n\x00\x01garbage")
		return true
	case j.fault(Endless, n) != nil:
		writeEndless(w, r)
		return true
	}
	return j.fault(Short, n) != nil
}

func writeEndless(w http.ResponseWriter, r *http.Request) {
	line := strings.Repeat("x", 64<<10)
	fmt.Fprint(w, "data: ")
	for r.Context().Err() == nil {
		if _, err := fmt.Fprint(w, line); err != nil {
			return
		}
	}
}

// respondUnstreamed waits for the end of j and sends its response as one JSON object.
func (e *Engine) respondUnstreamed(w http.ResponseWriter, r *http.Request, j *job) {
	for n := 0; ; {
		have, over, err := e.awaitTokens(r.Context(), j, n)
		if err != nil {
			return
		}
		if over {
			break
		}
		n = have
	}
	if !j.finished() {
		writeError(w, http.StatusServiceUnavailable, "request was cancelled")
		return
	}
	if e.applyFaults(w, r, j, j.outputTokens) {
		return
	}
	body := encode(j.completion(j.choices(), j.usage()))
	length := len(body)
	if j.fault(WrongLength, 0) != nil {
		length += 100
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = w.Write(body)
}

// chunk returns the nth event of a streamed response.
func (j *job) chunk(n int) []byte {
	text := j.token(n)
	c := choice{}
	if j.chat {
		c.Delta = &delta{Content: text}
		if n == 0 {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	if n == j.outputTokens-1 {
		c.FinishReason = finishReason()
	}
	return encode(j.completion([]choice{c}, nil))
}

func (j *job) choices() []choice {
	var b strings.Builder
	for n := range j.outputTokens {
		b.WriteString(j.token(n))
	}
	text := b.String()
	if j.chat {
		return []choice{{Message: &delta{Role: "assistant", Content: text}, FinishReason: finishReason()}}
	}
	return []choice{{Text: &text, FinishReason: finishReason()}}
}

func finishReason() *string {
	reason := "stop"
	return &reason
}

func (j *job) completion(choices []choice, u *usage) completion {
	object := "text_completion"
	if j.chat {
		object = "chat.completion"
		if j.request.Stream {
			object = "chat.completion.chunk"
		}
	}
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: "cmpl-" + j.id, Object: object, Model: j.request.Model, Choices: choices, Usage: u}
}

func (j *job) usage() *usage {
	return &usage{
		PromptTokens:     j.promptTokens,
		CompletionTokens: j.outputTokens,
		TotalTokens:      j.promptTokens + j.outputTokens,
		Details:          details{CachedTokens: j.cachedTokens},
	}
}

type embedding struct {
	Object    string    `json:"object"`
	Index     int       `json:"index"`
	Embedding []float64 `json:"embedding"`
}

func (e *Engine) embed(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	j := e.newJob(r, req)
	vector := make([]float64, 8)
	for i := range vector {
		vector[i] = float64((j.seed>>(8*i))&0xff) / 255
	}
	writeJSON(w, map[string]any{
		"object": "list",
		"model":  req.Model,
		"data":   []embedding{{Object: "embedding", Embedding: vector}},
		"usage":  usage{PromptTokens: j.promptTokens, TotalTokens: j.promptTokens},
	})
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	list := []model{}
	for name := range e.models {
		list = append(list, model{ID: name, Object: "model"})
	}
	e.mu.Unlock()
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	writeJSON(w, map[string]any{"object": "list", "data": list})
}

func (e *Engine) serves(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[name]
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[r.URL.Query().Get("id")]
	if j == nil {
		writeError(w, http.StatusNotFound, "unknown request")
		return
	}
	e.stopJob(j)
	w.WriteHeader(http.StatusNoContent)
}

// resume continues a streamed response at the event with index from. A cancelled request resumes generation where it was
// stopped.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	j := e.jobs[r.URL.Query().Get("id")]
	if j == nil || err != nil || from < 0 || from > j.outputTokens || !j.request.Stream {
		e.mu.Unlock()
		writeError(w, http.StatusNotFound, "unknown request")
		return
	}
	if j.cancelled {
		e.runJob(j, 0)
	}
	e.mu.Unlock()
	e.respond(w, r, j, from)
}

// Running is an entry of the list of active requests.
type Running struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
}

// listRunning lists the active requests whose owner starts with the owner parameter.
func (e *Engine) listRunning(w http.ResponseWriter, r *http.Request) {
	owner := r.URL.Query().Get("owner")
	list := []Running{}
	e.mu.Lock()
	for _, id := range e.order {
		if j := e.jobs[id]; j != nil && j.active && strings.HasPrefix(j.owner, owner) {
			list = append(list, Running{ID: j.id, Owner: j.owner})
		}
	}
	e.mu.Unlock()
	writeJSON(w, map[string]any{"running": list})
}

// loadReport is the load of the engine at one time.
type loadReport struct {
	at      time.Time
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// reportLoad records the current load and returns the newest report that is at least LoadReportDelay old, or the oldest one if
// none is.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{at: now, Running: e.running, Waiting: len(e.waiting), Slots: e.cfg.Slots})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.LoadReportDelay {
		e.reports = e.reports[1:]
	}
	report := e.reports[0]
	e.mu.Unlock()
	writeJSON(w, report)
}

// order is an order to load or unload a model, to load an adapter, or to change the role. A change of the role has no effect.
type order struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fencing < e.fencing {
		writeError(w, http.StatusConflict, "stale fencing token")
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	switch o.Kind {
	case "load_model":
		e.models[o.Model] = true
	case "unload_model":
		delete(e.models, o.Model)
	case "load_adapter":
		e.models[o.Adapter] = true
	}
	writeJSON(w, map[string]any{"accepted": true, "fencing": e.fencing})
}

func encode(v any) []byte {
	b, _ := json.Marshal(v) // encoding the types used here cannot fail
	return b
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encode(v))
}

func writeError(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(map[string]any{"error": map[string]string{"message": text, "type": "engine_error"}}))
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
