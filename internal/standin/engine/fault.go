package engine

import (
	"encoding/json"
	"net/http"
)

// FaultKind is a kind of injected fault.
type FaultKind string

const (
	// Slow adds DelayMs to the interval between tokens.
	Slow FaultKind = "slow"
	// Stall stops generating after the first After tokens and keeps the connection open.
	Stall FaultKind = "stall"
	// Crash drops all requests and closes all connections, as Engine.Crash does. With After 0, POST /faults crashes the engine at
	// once.
	Crash FaultKind = "crash"
	// Silent stops sending but keeps the connection open; the request continues to run.
	Silent FaultKind = "silent"
	// Cut closes the connection; the request continues to run.
	Cut FaultKind = "cut"
	// Garbage sends malformed events and ends the response.
	Garbage FaultKind = "garbage"
	// Endless sends an event line that never ends.
	Endless FaultKind = "endless"
	// Short ends the response normally but early, at the latest before usage and [DONE].
	Short FaultKind = "short"
	// WrongLength sends a Content-Length that is larger than the body of a response that is not streamed.
	WrongLength FaultKind = "wrong_length"
	// Reject responds with status 503.
	Reject FaultKind = "reject"
)

// Fault is an injected fault.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	After   int       `json:"after"`    // number of generated tokens from which it is in effect
	Times   int       `json:"times"`    // number of requests that it affects; 0: all
	DelayMs int       `json:"delay_ms"` // for Slow
}

// Inject adds a fault for later requests.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, &f)
}

// Crash closes all connections and drops all requests and the fencing token, as a restart of the process would.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashes)
	e.crashes = make(chan struct{})
	e.jobs = make(map[string]*job)
	e.order, e.waiting = nil, nil
	e.running = 0
	e.fencing = 0
}

// claimFaults returns the faults for a new request and decrements their remaining counts. The caller holds e.mu.
func (e *Engine) claimFaults() []*Fault {
	var claimed, remaining []*Fault
	for _, f := range e.faults {
		claimed = append(claimed, f)
		if f.Times == 1 {
			continue
		}
		if f.Times > 1 {
			f.Times--
		}
		remaining = append(remaining, f)
	}
	e.faults = remaining
	return claimed
}

// fault returns the fault of the given kind that is in effect after n tokens, or nil.
func (j *job) fault(kind FaultKind, n int) *Fault {
	for _, f := range j.faults {
		if f.Kind == kind && n >= f.After {
			return f
		}
	}
	return nil
}

func (e *Engine) addFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if f.Kind == Crash && f.After == 0 {
		e.Crash()
	} else {
		e.Inject(f)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) clearFaults(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.faults = nil
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Close drops all requests and ends their goroutines.
func (e *Engine) Close() error {
	e.Crash()
	return nil
}
