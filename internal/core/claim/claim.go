// Package claim keeps, in the replicated log, who runs a request that may not be repeated.
//
// A claim belongs to (organisation, route, idempotency key). It is made before the request is dispatched, names the
// request and its agent, and is given up only on proof that the request did not run.
package claim

import (
	"encoding/json"
	"time"

	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/juju/errors"
)

// ModuleName is the name of the claims in the replicated state machine.
const ModuleName = "claim"

// Op is the kind of a command.
type Op string

// The kinds of commands.
const (
	Claim    Op = "claim"    // takes the key for RequestID at an agent
	Sent     Op = "sent"     // RequestID was dispatched
	Done     Op = "done"     // keeps the answer; RequestID must hold the claim
	Unknown  Op = "unknown"  // RequestID may have run and nothing more can be learned
	Release  Op = "release"  // RequestID is proven not to have run
	Takeover Op = "takeover" // Previous is proven not to have run; RequestID takes the key in the same step
	Expire   Op = "expire"   // forgets claims older than the retention at AtMS of the command
)

// Key names a claim.
type Key struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Key          string `json:"key"` // as the caller gave it
}

// Agent names the process at which a request may run.
type Agent struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// Answer is a small answer that is kept.
type Answer struct {
	Status  int               `json:"status"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Omitted bool              `json:"omitted,omitempty"` // the answer was too large to keep
}

func (a Answer) size() int {
	n := len(a.Body)
	for name, value := range a.Headers {
		n += len(name) + len(value)
	}
	return n
}

// Command is one change of a claim.
type Command struct {
	Op        Op      `json:"op"`
	Key       Key     `json:"key"`
	Digest    string  `json:"digest,omitempty"` // of the request's body
	RequestID string  `json:"request_id,omitempty"`
	Previous  string  `json:"previous,omitempty"` // with Takeover
	Agent     Agent   `json:"agent,omitzero"`
	Answer    *Answer `json:"answer,omitempty"`
}

// State is what became of a command.
type State string

// The outcomes of commands.
const (
	StateClaimed    State = "claimed"     // RequestID holds the key and may be dispatched
	StateSent       State = "sent"        // the dispatch of RequestID is noted
	StateInProgress State = "in_progress" // another request holds the key
	StateDone       State = "done"        // the request ran; Answer is what it answered
	StateOtherBody  State = "other_body"  // the key was used with another body
	StateUnknown    State = "unknown"     // the request may have run
	StateReleased   State = "released"    // the claim is given up
	StateNotHeld    State = "not_held"    // RequestID doesn't hold the key
	StateFull       State = "full"        // no room for another claim: refuse the request, not run
	StateExpired    State = "expired"     // answer to Expire
)

// Outcome is the answer to a command. Every outcome but claimed means: do not dispatch.
type Outcome struct {
	State     State   `json:"state"`
	RequestID string  `json:"request_id,omitempty"` // holder of the key
	Agent     Agent   `json:"agent,omitzero"`       // of the holder
	Answer    *Answer `json:"answer,omitempty"`
	Expired   int     `json:"expired,omitempty"` // number of claims that were forgotten
}

// Bounds limit what is kept.
type Bounds struct {
	Retention       time.Duration // after which a claim is forgotten
	Claims          int           // in all
	PerOrganisation int           // of one organisation
	AnswerBytes     int           // of one answer
	TotalBytes      int           // of all answers
	ExpireBatch     int           // claims forgotten by one command
}

// Longest texts of a command, in bytes.
const (
	maxKeyLength  = 255
	maxNameLength = 600
)

// DefaultBounds are for a control member of 64 MB.
func DefaultBounds() Bounds {
	return Bounds{
		Retention: 24 * time.Hour, Claims: 50_000, PerOrganisation: 20_000,
		AnswerBytes: 4 << 10, TotalBytes: 8 << 20, ExpireBatch: 1000,
	}
}

// record is one kept claim.
type record struct {
	Key       Key     `json:"key"`
	Digest    string  `json:"digest"`
	RequestID string  `json:"request_id"`
	Agent     Agent   `json:"agent"`
	State     State   `json:"state"`
	Answer    *Answer `json:"answer,omitempty"`
	SinceMS   int64   `json:"since_ms"`
	released  bool
}

// Module is the claims as a part of the replicated state machine.
type Module struct {
	bounds  Bounds
	byKey   map[Key]*record
	queue   []*record // oldest first; holds released ones until they come to the front
	perOrg  map[string]int
	bytes   int // of kept answers
	clockMS int64
}

// NewModule returns a module without claims.
func NewModule(bounds Bounds) *Module {
	return &Module{bounds: bounds, byKey: make(map[Key]*record), perOrg: make(map[string]int)}
}

// Name returns ModuleName.
func (m *Module) Name() string { return ModuleName }

// Len returns the number of claims.
func (m *Module) Len() int { return len(m.byKey) }

// Apply carries out a Command.
func (m *Module) Apply(_ uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "claim command")
	}
	m.clockMS = max(m.clockMS, cmd.AtMS) // commanded time never goes back
	outcome, err := m.execute(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(outcome)
}

func (m *Module) execute(c Command) (Outcome, error) {
	if err := check(c); err != nil {
		return Outcome{}, err
	}
	switch c.Op {
	case Claim:
		return m.claim(c), nil
	case Sent:
		return m.finish(c, StateSent), nil
	case Done:
		return m.finish(c, StateDone), nil
	case Unknown:
		return m.finish(c, StateUnknown), nil
	case Release:
		return m.release(c.Key, c.RequestID), nil
	case Takeover:
		return m.takeOver(c), nil
	case Expire:
		return Outcome{State: StateExpired, Expired: m.expire()}, nil
	default:
		return Outcome{}, errors.NotValidf("claim command %q", c.Op)
	}
}

func check(c Command) error {
	if c.Op == Expire {
		return nil
	}
	if c.RequestID == "" || c.Key.Key == "" || c.Key.Organisation == "" {
		return errors.NotValidf("claim without organisation, key or request id")
	}
	if len(c.Key.Key) > maxKeyLength {
		return errors.NotValidf("key of %d bytes, above %d,", len(c.Key.Key), maxKeyLength)
	}
	for _, s := range []string{c.Key.Organisation, c.Key.Route, c.Digest, c.RequestID, c.Agent.ID, c.Agent.Incarnation} {
		if len(s) > maxNameLength {
			return errors.NotValidf("claim with a text of %d bytes", len(s))
		}
	}
	return nil
}

func (m *Module) claim(c Command) Outcome {
	r, ok := m.byKey[c.Key]
	if !ok {
		return m.add(c)
	}
	if r.Digest != c.Digest {
		return Outcome{State: StateOtherBody}
	}
	if r.State == StateClaimed && r.RequestID == c.RequestID && r.Agent == c.Agent {
		return r.outcome(StateClaimed) // the same command again
	}
	if r.State == StateClaimed || r.State == StateSent {
		return r.outcome(StateInProgress)
	}
	return r.outcome(r.State)
}

func (r *record) outcome(s State) Outcome {
	return Outcome{State: s, RequestID: r.RequestID, Agent: r.Agent, Answer: r.Answer}
}

func (m *Module) add(c Command) Outcome {
	if len(m.byKey) >= m.bounds.Claims || m.perOrg[c.Key.Organisation] >= m.bounds.PerOrganisation {
		return Outcome{State: StateFull}
	}
	r := &record{Key: c.Key, Digest: c.Digest, RequestID: c.RequestID, Agent: c.Agent, State: StateClaimed, SinceMS: m.clockMS}
	m.put(r)
	return r.outcome(StateClaimed)
}

func (m *Module) put(r *record) {
	m.byKey[r.Key] = r
	m.queue = append(m.queue, r)
	m.perOrg[r.Key.Organisation]++
	if r.Answer != nil {
		m.bytes += r.Answer.size()
	}
}

// finish notes what became of a claim's request. What is done stays so; an unknown one may yet become done.
func (m *Module) finish(c Command, to State) Outcome {
	r, ok := m.byKey[c.Key]
	if !ok || r.RequestID != c.RequestID {
		return Outcome{State: StateNotHeld}
	}
	if r.State == StateDone || (r.State == StateUnknown && to == StateSent) {
		return r.outcome(r.State)
	}
	r.State = to
	if to == StateDone && c.Answer != nil {
		r.Answer = m.keepable(*c.Answer)
		m.bytes += r.Answer.size()
	}
	return r.outcome(r.State)
}

// keepable returns the answer as it can be kept: its status alone where it is too large.
func (m *Module) keepable(a Answer) *Answer {
	if n := a.size(); n > m.bounds.AnswerBytes || m.bytes+n > m.bounds.TotalBytes {
		return &Answer{Status: a.Status, Omitted: true}
	}
	return &a
}

// release gives up the claim of a request that is proven not to have run. A settled claim contradicts the proof and
// stays.
func (m *Module) release(key Key, requestID string) Outcome {
	r, ok := m.byKey[key]
	if !ok || r.RequestID != requestID {
		return Outcome{State: StateNotHeld}
	}
	if r.State == StateDone {
		return r.outcome(StateDone)
	}
	m.remove(r)
	return Outcome{State: StateReleased}
}

func (m *Module) remove(r *record) {
	delete(m.byKey, r.Key)
	r.released = true
	if m.perOrg[r.Key.Organisation]--; m.perOrg[r.Key.Organisation] == 0 {
		delete(m.perOrg, r.Key.Organisation)
	}
	if r.Answer != nil {
		m.bytes -= r.Answer.size()
	}
}

// takeOver gives the key of a request that is proven not to have run to another one. Of two that race, one wins.
func (m *Module) takeOver(c Command) Outcome {
	r, ok := m.byKey[c.Key]
	if ok && r.Digest == c.Digest && r.RequestID == c.Previous && r.State != StateDone {
		m.remove(r)
	}
	return m.claim(c)
}

// expire forgets the oldest claims, so many at once that one command stays short.
func (m *Module) expire() int {
	before := m.clockMS - m.bounds.Retention.Milliseconds()
	n := 0
	for len(m.queue) > 0 && n < m.bounds.ExpireBatch {
		r := m.queue[0]
		if !r.released && r.SinceMS > before {
			break
		}
		m.queue[0] = nil
		m.queue = m.queue[1:]
		if !r.released {
			m.remove(r)
			n++
		}
	}
	return n
}

// moduleJSON is the stored form of a Module.
type moduleJSON struct {
	ClockMS int64     `json:"clock_ms"`
	Claims  []*record `json:"claims,omitempty"`
}

// Snapshot returns all claims, oldest first.
func (m *Module) Snapshot() (json.RawMessage, error) {
	j := moduleJSON{ClockMS: m.clockMS}
	for _, r := range m.queue {
		if !r.released {
			j.Claims = append(j.Claims, r)
		}
	}
	return json.Marshal(j)
}

// Restore replaces all claims.
func (m *Module) Restore(data json.RawMessage) error {
	var j moduleJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return errors.NewNotValid(err, "claims snapshot")
	}
	*m = *NewModule(m.bounds)
	m.clockMS = j.ClockMS
	for _, r := range j.Claims {
		m.put(r)
	}
	return nil
}
