// Package service is a stand-in for a plain service with non-idempotent calls. It counts the arrivals of each request body,
// so that a test can detect calls that ran more than once.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

// FaultKind is a kind of injected fault.
type FaultKind string

const (
	// CloseAfterReading counts the request and closes the connection without a reply.
	CloseAfterReading FaultKind = "close_after_reading"
	// CloseMidReply closes the connection in the middle of the reply.
	CloseMidReply FaultKind = "close_mid_reply"
	// Slow delays the reply by DelayMs.
	Slow FaultKind = "slow"
	// Silent counts the request and sends no reply, with the connection left open.
	Silent FaultKind = "silent"
)

// Fault is an injected fault.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	Times   int       `json:"times"`    // number of requests that it affects; 0: all
	DelayMs int       `json:"delay_ms"` // for Slow
}

// Service is an http.Handler. GET /arrivals and POST or DELETE /faults control it; any other request places an order.
type Service struct {
	mux *http.ServeMux

	mu       sync.Mutex
	arrivals map[string]int
	total    int
	fault    *Fault
}

// New returns a Service.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), arrivals: make(map[string]int)}
	s.mux.HandleFunc("GET /arrivals", s.serveArrivals)
	s.mux.HandleFunc("POST /faults", s.addFault)
	s.mux.HandleFunc("DELETE /faults", s.clearFault)
	s.mux.HandleFunc("/", s.serveOrder)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Inject sets the fault for later requests and replaces any earlier one.
func (s *Service) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = &f
}

// Arrivals returns how often each body has arrived, by the hexadecimal SHA-256 of the body.
func (s *Service) Arrivals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.arrivals))
	for digest, n := range s.arrivals {
		counts[digest] = n
	}
	return counts
}

// reply is the response to an order.
type reply struct {
	Digest string `json:"digest"`
	Number int    `json:"number"` // sequence number of the order since the service started
	Times  int    `json:"times"`  // how often this body has arrived
}

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, fault := s.recordArrival(body)
	text, _ := json.Marshal(answer) // encoding this type cannot fail
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch fault.Kind {
	case CloseAfterReading:
		panic(http.ErrAbortHandler)
	case CloseMidReply:
		_, _ = w.Write(text[:len(text)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		panic(http.ErrAbortHandler)
	case Silent:
		<-r.Context().Done()
		return
	case Slow:
		select {
		case <-time.After(time.Duration(fault.DelayMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	_, _ = w.Write(text)
}

// recordArrival counts an arrival, and returns the reply to it and the fault that applies to it, or the zero Fault.
func (s *Service) recordArrival(body []byte) (reply, Fault) {
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[digest]++
	s.total++
	answer := reply{Digest: digest, Number: s.total, Times: s.arrivals[digest]}
	if s.fault == nil {
		return answer, Fault{}
	}
	fault := *s.fault
	switch s.fault.Times {
	case 0:
	case 1:
		s.fault = nil
	default:
		s.fault.Times--
	}
	return answer, fault
}

func (s *Service) serveArrivals(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Arrivals())
}

func (s *Service) addFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Inject(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) clearFault(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.fault = nil
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
