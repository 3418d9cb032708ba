package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/guavastack/guavastack/internal/platformclient"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 64 << 20

// retryAfterMS is the retry delay that rate limit errors contain, in milliseconds.
const retryAfterMS = 1000

// Handler returns the HTTP interface of the stand-in: the platform contract in docs/INTERFACES.md, and GET /record.
func (s *Standin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/orders/{id}", s.serveOrder)
	mux.HandleFunc("GET /v1/inventory", s.serveInventory)
	mux.HandleFunc("PUT /v1/usage/{window}", s.serveReport)
	mux.HandleFunc("GET /v1/usage/{window}", s.serveUsage)
	mux.HandleFunc("GET /v1/weights", s.serveWeights)
	mux.HandleFunc("GET /record", s.serveRecord)
	return mux
}

func (s *Standin) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o platformclient.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil || o.ID != r.PathValue("id") {
		writeError(w, platformclient.CodeInvalid)
		return
	}
	out, code := s.handleOrder(o)
	if code != codeOK {
		writeError(w, code)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Standin) serveInventory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.inventory())
}

func (s *Standin) serveReport(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.ParseUint(r.PathValue("window"), 10, 64)
	if err != nil {
		writeError(w, platformclient.CodeInvalid)
		return
	}
	fencing, err := strconv.ParseUint(r.Header.Get(platformclient.HeaderFencing), 10, 64)
	if err != nil {
		writeError(w, platformclient.CodeInvalid)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, platformclient.CodeInvalid)
		return
	}
	from := platformclient.Sender{Holder: r.Header.Get(platformclient.HeaderHolder), Fencing: fencing}
	if code := s.handleReport(from, window, body); code != codeOK {
		writeError(w, code)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Standin) serveUsage(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.ParseUint(r.PathValue("window"), 10, 64)
	if err != nil {
		writeError(w, platformclient.CodeInvalid)
		return
	}
	body, ok := s.reportedUsage(window)
	if !ok {
		writeError(w, platformclient.CodeNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Standin) serveWeights(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.cfg.WeightStore)
}

func (s *Standin) serveRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Record())
}

// statusByCode maps each error code to its HTTP status.
var statusByCode = map[string]int{
	platformclient.CodeQuota:            http.StatusForbidden,
	platformclient.CodeNoSupply:         http.StatusServiceUnavailable,
	platformclient.CodeStaleFencing:     http.StatusConflict,
	platformclient.CodeDifferentFigures: http.StatusConflict,
	platformclient.CodeRateLimit:        http.StatusTooManyRequests,
	platformclient.CodeInvalid:          http.StatusBadRequest,
	platformclient.CodeNotFound:         http.StatusNotFound,
}

func writeError(w http.ResponseWriter, code string) {
	body := platformclient.ErrorBody{Code: code, Message: code}
	if code == platformclient.CodeRateLimit {
		body.RetryAfterMS = retryAfterMS
	}
	writeJSON(w, statusByCode[code], body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
