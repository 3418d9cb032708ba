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
	// maxResponseBytes bounds the body of a response that is not streamed.
	maxResponseBytes = 32 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// orderRetryDelay is the time between two sends of a keyed order.
	orderRetryDelay = 500 * time.Millisecond
)

// Outcomes of a request.
const (
	outcomeComplete     = "whole"   // the response was complete
	outcomeRefused      = "refused" // an error response
	outcomeError        = "error"   // the connection failed before a response
	outcomeInterrupted  = "cut"     // the response was interrupted or malformed, with or without an error event
	outcomeIncomplete   = "short"   // the response ended normally but was incomplete
	outcomeDisconnected = "left"    // the caller disconnected before the end of the response
	outcomeUnsent       = "unsent"  // not sent, because MaxOutstanding requests were in flight
)

// sample is the measurement of one request. Durations are measured from the intended send time.
type sample struct {
	request
	outcome    string
	status     int
	verdict    string
	code       string
	firstToken time.Duration // 0: no token was received
	total      time.Duration
	lateness   time.Duration // from the intended to the actual send time
	tokens     int
	digest     string // hexadecimal SHA-256 of an order's body
	sends      int
}

// sender sends the requests of one scenario.
type sender struct {
	scenario     Scenario
	started      time.Time
	promptClient *http.Client
	orderClient  *http.Client // for orders: a new connection each, since net/http may resend a request on a reused connection
}

func newSender(s Scenario) *sender {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	dial := (&net.Dialer{Timeout: 10 * time.Second}).DialContext
	promptTransport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: s.MaxOutstanding, DisableCompression: true}
	orderTransport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &sender{
		scenario:     s,
		promptClient: &http.Client{Transport: promptTransport, CheckRedirect: noRedirect},
		orderClient:  &http.Client{Transport: orderTransport, CheckRedirect: noRedirect},
	}
}

func (s *sender) close() {
	s.promptClient.CloseIdleConnections()
	s.orderClient.CloseIdleConnections()
}

// sinceIntended returns the time since the intended send time of r.
func (s *sender) sinceIntended(r request) time.Duration { return time.Since(s.started.Add(r.at)) }

// send sends one request, reads the response and returns the measurement.
func (s *sender) send(ctx context.Context, r request) sample {
	out := sample{request: r, lateness: s.sinceIntended(r)}
	if r.disconnectAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.started.Add(r.at+r.disconnectAfter))
		defer cancel()
	}
	if r.order {
		s.sendOrder(ctx, &out)
	} else {
		s.sendPrompt(ctx, &out)
	}
	if out.outcome != outcomeComplete && r.disconnectAfter > 0 && ctx.Err() != nil {
		out.outcome = outcomeDisconnected
	}
	out.total = s.sinceIntended(r)
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

// chatResponse is a complete response or one event of a streamed response.
type chatResponse struct {
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
		out.outcome = outcomeError
		return
	}
	resp, err := s.post(ctx, s.promptClient, "/v1/chat/completions", out, body, "")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		s.readStream(resp.Body, out)
	} else {
		s.readResponse(resp.Body, out)
	}
}

// post sends one request and returns the response. If the call fails or has an error status, it records the outcome in out and
// returns an error.
func (s *sender) post(ctx context.Context, client *http.Client, path string, out *sample, body []byte, key string) (*http.Response, error) {
	out.sends++
	url := strings.TrimSuffix(s.scenario.Entries[out.entry], "/") + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		out.outcome = outcomeError
		return nil, err
	}
	req.GetBody = nil // prevents the transport from sending the body a second time
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
		out.outcome = outcomeError
		out.verdict = ""
		return nil, err
	}
	out.status = resp.StatusCode
	out.verdict = resp.Header.Get("X-Guavastack-Verdict")
	if resp.StatusCode >= http.StatusBadRequest {
		s.readErrorResponse(resp.Body, out)
		_ = resp.Body.Close()
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}

func (s *sender) readErrorResponse(body io.Reader, out *sample) {
	out.outcome = outcomeRefused
	var answer chatResponse
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&answer); err == nil && answer.Error != nil {
		out.code = answer.Error.Code
		out.verdict = answer.Error.Verdict
	}
}

func (s *sender) readResponse(body io.Reader, out *sample) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	var answer chatResponse
	if err != nil || json.Unmarshal(data, &answer) != nil {
		out.outcome = outcomeInterrupted
		return
	}
	out.firstToken = s.sinceIntended(out.request)
	if answer.Usage != nil {
		out.tokens = answer.Usage.CompletionTokens
	}
	out.outcome = outcomeComplete
	if len(answer.Choices) == 0 || answer.Choices[0].FinishReason == nil {
		out.outcome = outcomeIncomplete
	}
}

// readStream reads a streamed response. The response is complete if it has a finish reason, contains as many tokens as its usage
// object states, and includes the [DONE] event.
func (s *sender) readStream(body io.Reader, out *sample) {
	var finished, done bool
	reportedTokens := -1
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			out.outcome = outcomeInterrupted
			return
		}
		if event.Data == "[DONE]" {
			done = true
			continue
		}
		var answer chatResponse
		if json.Unmarshal([]byte(event.Data), &answer) != nil {
			out.outcome = outcomeInterrupted
			return
		}
		if answer.Error != nil {
			out.outcome, out.code, out.verdict = outcomeInterrupted, answer.Error.Code, answer.Error.Verdict
			return
		}
		if answer.Usage != nil {
			reportedTokens = answer.Usage.CompletionTokens
		}
		finished = s.countToken(answer, out) || finished
	}
	out.outcome = outcomeComplete
	if !finished || !done || reportedTokens >= 0 && reportedTokens != out.tokens {
		out.outcome = outcomeIncomplete
	}
}

// countToken counts the token of an event and reports whether the event has a finish reason.
func (s *sender) countToken(answer chatResponse, out *sample) (finished bool) {
	if len(answer.Choices) == 0 {
		return false
	}
	if answer.Choices[0].Delta.Content != "" {
		if out.tokens == 0 {
			out.firstToken = s.sinceIntended(out.request)
		}
		out.tokens++
	}
	return answer.Choices[0].FinishReason != nil
}

// sendOrder places an order. A keyed order whose outcome is unknown, or whose refusal is retryable, is sent again with the same
// idempotency key, up to Resends times.
func (s *sender) sendOrder(ctx context.Context, out *sample) {
	body := fmt.Appendf(nil, `{"order":"%d-%d","organisation":%q,"hides":%d}`,
		s.scenario.Seed, out.n, s.scenario.Organisations[out.organisation].Name, out.n%7+1)
	sum := sha256.Sum256(body)
	out.digest = hex.EncodeToString(sum[:])
	key := ""
	maxSends := 1
	if out.keyed {
		key = fmt.Sprintf("load-%d-%d", s.scenario.Seed, out.n)
		maxSends += s.scenario.Orders.Resends
	}
	for {
		s.sendOrderOnce(ctx, out, body, key)
		final := out.outcome == outcomeComplete || out.verdict == "not_run" && !isRetryable(out.status)
		if final || out.sends >= maxSends || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(orderRetryDelay):
		}
	}
}

// isRetryable reports whether a refusal with this status may succeed on a retry.
func isRetryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusConflict
}

func (s *sender) sendOrderOnce(ctx context.Context, out *sample, body []byte, key string) {
	out.code = ""
	resp, err := s.post(ctx, s.orderClient, s.scenario.Orders.Path, out, body, key)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	out.outcome = outcomeComplete
	if err != nil || !json.Valid(data) {
		out.outcome = outcomeInterrupted
		out.verdict = "may_have_run"
	}
	if out.firstToken == 0 {
		out.firstToken = s.sinceIntended(out.request)
	}
}
