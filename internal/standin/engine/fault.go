package engine

import (
	"encoding/json"
	"net/http"
)

// FaultKind names a fault.
type FaultKind string

const (
	// Slow adds DelayMs to the time between tokens.
	Slow FaultKind = "slow"
	// Stall makes no token after the first After ones, and keeps the connection open.
	Stall FaultKind = "stall"
	// Crash forgets all requests and cuts all connections.
	Crash FaultKind = "crash"
	// Silent sends nothing more on the connection, while the request runs on.
	Silent FaultKind = "silent"
	// Cut closes the connection, while the request runs on.
	Cut FaultKind = "cut"
	// Garbage sends bytes that are no event.
	Garbage FaultKind = "garbage"
	// Endless sends a line without end.
	Endless FaultKind = "endless"
	// Short ends the stream in order, but without its last event.
	Short FaultKind = "short"
	// WrongLength announces more bytes than it sends.
	WrongLength FaultKind = "wrong_length"
	// Reject answers 503.
	Reject FaultKind = "reject"
)

// Fault is one switched-on fault.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	After   int       `json:"after"`    // tokens before it strikes
	Times   int       `json:"times"`    // requests that it strikes; 0: all
	DelayMs int       `json:"delay_ms"` // with slow
}

// Inject switches a fault on for requests that come later.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, &f)
}

// Crash cuts all connections and forgets all requests, as a restart of the process would.
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

// takeFaults returns the faults for a new request. The caller holds e.mu.
func (e *Engine) takeFaults() []*Fault {
	var taken, left []*Fault
	for _, f := range e.faults {
		taken = append(taken, f)
		if f.Times == 1 {
			continue
		}
		if f.Times > 1 {
			f.Times--
		}
		left = append(left, f)
	}
	e.faults = left
	return taken
}

// fault returns the fault of the given kind that strikes after n tokens, nil if none does.
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

// Close ends the work on all requests.
func (e *Engine) Close() error {
	e.Crash()
	return nil
}
