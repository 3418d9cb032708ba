package loadgen

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	sse "github.com/tmaxmax/go-sse"
)

const (
	// maxAnswer bounds an answer that is read in one piece, in bytes.
	maxAnswer = 32 << 20
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// resendPause is the time between two tries of a keyed order.
	resendPause = 500 * time.Millisecond
)

// Ends of a request.
const (
	endWhole   = "whole"   // the whole answer came
	endRefused = "refused" // an error answer with a verdict
	endError   = "error"   // the connection failed before an answer
	endCut     = "cut"     // the answer broke off, with an error event or without
	endSilent  = "short"   // the answer ended as if it were whole, and was not
	endLeft    = "left"    // the caller went away
	endUnsent  = "unsent"  // too many requests were on their way
)

// sample is what happened to one request. Times count from the intended time.
type sample struct {
	request
	end        string
	status     int
	verdict    string
	code       string
	firstToken time.Duration // 0: no token came
	total      time.Duration
	lateness   time.Duration // from the intended time to the sending
	tokens     int
	digest     string // of an order's body
	tries      int
}

// sender sends the requests of one scenario.
type sender struct {
	scenario Scenario
	started  time.Time
	shared   *http.Client
	single   *http.Client // for orders: a connection of its own each, so that nothing is sent twice unasked
}

func newSender(s Scenario) *sender {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	dial := (&net.Dialer{Timeout: 10 * time.Second}).DialContext
	shared := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: s.MaxOutstanding, DisableCompression: true}
	single := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &sender{
		scenario: s,
		shared:   &http.Client{Transport: shared, CheckRedirect: noRedirect},
		single:   &http.Client{Transport: single, CheckRedirect: noRedirect},
	}
}

func (s *sender) close() {
	s.shared.CloseIdleConnections()
	s.single.CloseIdleConnections()
}

// since returns the time from the intended time of r.
func (s *sender) since(r request) time.Duration { return time.Since(s.started.Add(r.at)) }

// send carries out one request and returns what happened.
func (s *sender) send(ctx context.Context, r request) sample {
	out := sample{request: r, lateness: s.since(r)}
	if r.leaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.started.Add(r.at+r.leaveAfter))
		defer cancel()
	}
	if r.order {
		s.sendOrder(ctx, &out)
	} else {
		s.sendPrompt(ctx, &out)
	}
	if out.end != endWhole && r.leaveAfter > 0 && ctx.Err() != nil {
		out.end = endLeft
	}
	out.total = s.since(r)
	return out
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatAnswer is a whole answer or one event of a streamed one.
type chatAnswer struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func (s *sender) sendPrompt(ctx context.Context, out *sample) {
	class := s.scenario.Classes[out.class]
	chat := chatRequest{
		Model: s.scenario.Model, MaxTokens: out.outputTokens, Stream: class.Stream,
		Messages: []chatMessage{{Role: "user", Content: s.scenario.prompt(out.request)}},
	}
	if class.Stream {
		chat.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	body, err := json.Marshal(chat)
	if err != nil {
		out.end = endError
		return
	}
	resp, err := s.post(ctx, s.shared, "/v1/chat/completions", out, body, "")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		s.readStream(resp.Body, out)
	} else {
		s.readWhole(resp.Body, out)
	}
}

// post sends one call; with an error out says what became of it, and there is no answer to read.
func (s *sender) post(ctx context.Context, client *http.Client, path string, out *sample, body []byte, key string) (*http.Response, error) {
	out.tries++
	url := strings.TrimSuffix(s.scenario.Entries[out.entry], "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		out.end = endError
		return nil, err
	}
	req.GetBody = nil // the transport must not send the body a second time
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Guavastack-Class", s.scenario.Classes[out.class].Name)
	if k := s.scenario.Organisations[out.organisation].Key; k != "" {
		req.Header.Set("Authorization", "Bearer "+k)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		out.end = endError
		out.verdict = ""
		return nil, err
	}
	out.status = resp.StatusCode
	out.verdict = resp.Header.Get("X-Guavastack-Verdict")
	if resp.StatusCode >= http.StatusBadRequest {
		s.readRefusal(resp.Body, out)
		_ = resp.Body.Close()
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}

func (s *sender) readRefusal(body io.Reader, out *sample) {
	out.end = endRefused
	var answer chatAnswer
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&answer); err == nil && answer.Error != nil {
		out.code = answer.Error.Code
		out.verdict = answer.Error.Verdict
	}
}

func (s *sender) readWhole(body io.Reader, out *sample) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	var answer chatAnswer
	if err != nil || json.Unmarshal(data, &answer) != nil {
		out.end = endCut
		return
	}
	out.firstToken = s.since(out.request)
	if answer.Usage != nil {
		out.tokens = answer.Usage.CompletionTokens
	}
	out.end = endWhole
	if len(answer.Choices) == 0 || answer.Choices[0].FinishReason == nil {
		out.end = endSilent
	}
}

// readStream reads a streamed answer. It is whole when it says why it finished, counts the tokens that it says it has,
// and ends with the mark of the end.
func (s *sender) readStream(body io.Reader, out *sample) {
	var finished, marked bool
	told := -1
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			out.end = endCut
			return
		}
		if event.Data == "[DONE]" {
			marked = true
			continue
		}
		var answer chatAnswer
		if json.Unmarshal([]byte(event.Data), &answer) != nil {
			out.end = endCut
			return
		}
		if answer.Error != nil {
			out.end, out.code, out.verdict = endCut, answer.Error.Code, answer.Error.Verdict
			return
		}
		if answer.Usage != nil {
			told = answer.Usage.CompletionTokens
		}
		finished = s.noteChoice(answer, out) || finished
	}
	out.end = endWhole
	if !finished || !marked || told >= 0 && told != out.tokens {
		out.end = endSilent
	}
}

// noteChoice counts the token of an event and reports whether it finishes the answer.
func (s *sender) noteChoice(answer chatAnswer, out *sample) (finished bool) {
	if len(answer.Choices) == 0 {
		return false
	}
	if answer.Choices[0].Delta.Content != "" {
		if out.tokens == 0 {
			out.firstToken = s.since(out.request)
		}
		out.tokens++
	}
	return answer.Choices[0].FinishReason != nil
}

// sendOrder places an order. A keyed order whose outcome is unknown is sent again under its key.
func (s *sender) sendOrder(ctx context.Context, out *sample) {
	body := fmt.Appendf(nil, `{"order":"%d-%d","organisation":%q,"hides":%d}`,
		s.scenario.Seed, out.n, s.scenario.Organisations[out.organisation].Name, out.n%7+1)
	sum := sha256.Sum256(body)
	out.digest = hex.EncodeToString(sum[:])
	key := ""
	tries := 1
	if out.keyed {
		key = fmt.Sprintf("load-%d-%d", s.scenario.Seed, out.n)
		tries += s.scenario.Orders.Resends
	}
	for {
		s.tryOrder(ctx, out, body, key)
		settled := out.end == endWhole || out.verdict == "not_run" && !isBusy(out.status)
		if settled || out.tries >= tries || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(resendPause):
		}
	}
}

// isBusy reports whether a refusal invites another try.
func isBusy(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusConflict
}

func (s *sender) tryOrder(ctx context.Context, out *sample, body []byte, key string) {
	out.code = ""
	resp, err := s.post(ctx, s.single, s.scenario.Orders.Path, out, body, key)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	out.end = endWhole
	if err != nil || !json.Valid(data) {
		out.end = endCut
		out.verdict = "may_have_run"
	}
	if out.firstToken == 0 {
		out.firstToken = s.since(out.request)
	}
}
