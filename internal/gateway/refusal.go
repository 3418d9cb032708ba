package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// headerVerdict states whether the request may have run.
const headerVerdict = "X-Guavastack-Verdict"

// refusal is the gateway's own final answer to a request.
type refusal struct {
	status     int
	code       string
	message    string
	verdict    verdict.Verdict
	retryAfter time.Duration // sent as Retry-After; 0: not sent
}

func notRun(status int, code, message string) *refusal {
	return &refusal{status: status, code: code, message: message, verdict: verdict.NotRun}
}

// mayBeOutdated reports whether a newer catalog could allow the request. r may be nil.
func (r *refusal) mayBeOutdated() bool {
	return r != nil && (r.status == http.StatusNotFound || r.status == http.StatusUnauthorized)
}

func mayHaveRun(status int, code, message string) *refusal {
	return &refusal{status: status, code: code, message: message, verdict: verdict.MayHaveRun}
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// write sends r as the complete answer.
func (r *refusal) write(w http.ResponseWriter) {
	var body refusalBody
	body.Error.Code, body.Error.Message, body.Error.Verdict = r.code, r.message, r.verdict.String()
	data, err := json.Marshal(body)
	if err != nil {
		data = []byte(`{}`) // strings always encode
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(headerVerdict, r.verdict.String())
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(data) // the caller may be gone
}
