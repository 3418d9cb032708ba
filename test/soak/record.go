package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// event is something that the runner did or saw.
type event struct {
	Time   time.Time `json:"time"`
	What   string    `json:"what"`
	Where  string    `json:"where,omitempty"` // name of a machine
	Detail string    `json:"detail,omitempty"`
}

// record keeps the events of a run.
type record struct {
	mu     sync.Mutex
	events []event
}

// event adds an event at a machine, and returns its time.
func (r *record) event(what, where string, detail ...string) time.Time {
	e := event{Time: time.Now(), What: what, Where: where}
	for _, d := range detail {
		e.Detail += d
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	return e.Time
}

func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// write writes the plan and the events as lines of JSON.
func (r *record) write(file string, plan Plan) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	enc := json.NewEncoder(f)
	if err := enc.Encode(plan); err != nil {
		return errors.Trace(err)
	}
	for _, e := range r.all() {
		if err := enc.Encode(e); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
