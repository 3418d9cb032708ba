package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// Headers of requests and answers.
const (
	headerRequestID      = "X-Guavastack-Request-Id"
	headerVerdict        = "X-Guavastack-Verdict"
	headerClass          = "X-Guavastack-Class"
	headerRetryAfter     = "Retry-After"
	headerIdempotencyKey = "Idempotency-Key"
)

// defaultRetryAfter is sent with status 429 and 503 if the refusal states no other time.
const defaultRetryAfter = time.Second

// refusal is an error with its HTTP status.
type refusal struct {
	*verdict.Error
	status     int
	retryAfter time.Duration // with status 429 and 503; 0: defaultRetryAfter
}

// refuse returns a refusal of a request that did not run.
func refuse(status int, code, format string, args ...any) *refusal {
	return &refusal{Error: verdict.New(verdict.NotRun, code, format, args...), status: status}
}

// errorBody is the error body of the OpenAI API, extended by a verdict.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
}

// body returns the JSON form of r.
func (r *refusal) body() []byte {
	data, err := json.Marshal(errorBody{errorDetail{
		Message: r.Message,
		Type:    errorType(r.status),
		Code:    r.Code,
		Verdict: r.Verdict.String(),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error"}}`)
	}
	return data
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusNotFound:
		return "not_found_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusServiceUnavailable:
		return "overloaded_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// write sends r as the complete answer.
func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerVerdict, r.Verdict.String())
	if r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable {
		h.Set(headerRetryAfter, retryAfterSeconds(r.retryAfter))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(append(r.body(), '\n'))
}

// retryAfterSeconds returns the value of Retry-After: d, or defaultRetryAfter if it is 0, rounded up to seconds.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
