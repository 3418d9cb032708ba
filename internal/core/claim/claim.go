// Package claim records in the replicated log which process executes a request that must not run twice.
//
// A claim is identified by (organisation, route, idempotency key). It is created before the request is dispatched, holds
// the ids of the request and its agent, and is released only on proof that the request did not run.
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
	Claim    Op = "claim"    // acquires the key for RequestID at an agent
	Sent     Op = "sent"     // RequestID was dispatched
	Done     Op = "done"     // stores the answer; RequestID must hold the claim
	Unknown  Op = "unknown"  // RequestID may have run and its outcome can't be determined
	Release  Op = "release"  // RequestID is proven not to have run
	Takeover Op = "takeover" // Previous is proven not to have run; RequestID acquires the key atomically
	Expire   Op = "expire"   // deletes claims older than the retention at AtMS of the command
)

// Key identifies a claim.
type Key struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Key          string `json:"key"` // idempotency key sent by the caller
}

// Agent identifies the process at which a request may run.
type Agent struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// Answer is the stored answer of a request.
type Answer struct {
	Status  int               `json:"status"`
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Omitted bool              `json:"omitted,omitempty"` // the answer was too large to store
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
	Digest    string  `json:"digest,omitempty"` // of the request's body; with Claim and Takeover
	RequestID string  `json:"request_id,omitempty"`
	Previous  string  `json:"previous,omitempty"` // with Takeover
	Agent     Agent   `json:"agent,omitzero"`
	Answer    *Answer `json:"answer,omitempty"`
}

// State is the outcome of a command.
type State string

// The outcomes of commands.
const (
	StateClaimed    State = "claimed"     // RequestID holds the key and may be dispatched
	StateSent       State = "sent"        // the dispatch of RequestID is recorded
	StateInProgress State = "in_progress" // another request holds the key
	StateDone       State = "done"        // the request ran; Answer is its answer
	StateOtherBody  State = "other_body"  // the key was used with another body
	StateUnknown    State = "unknown"     // the request may have run
	StateReleased   State = "released"    // the claim is released
	StateNotHeld    State = "not_held"    // RequestID doesn't hold the key
	StateFull       State = "full"        // the limit of claims is reached: refuse the request as not run
	StateExpired    State = "expired"     // result of Expire
)

// Outcome is the result of a command. The request of a Claim or Takeover may be dispatched only if State is StateClaimed.
type Outcome struct {
	State     State   `json:"state"`
	RequestID string  `json:"request_id,omitempty"` // holder of the key
	Agent     Agent   `json:"agent,omitzero"`       // of the holder
	Answer    *Answer `json:"answer,omitempty"`
	Expired   int     `json:"expired,omitempty"` // number of claims deleted
}

// Bounds limit the stored claims and answers.
type Bounds struct {
	Retention       time.Duration // age at which a claim is deleted
	Claims          int           // in all
	PerOrganisation int           // of one organisation
	AnswerBytes     int           // of one answer
	TotalBytes      int           // of all answers
	ExpireBatch     int           // claims deleted by one command
}

// Maximum lengths of the texts in a command, in bytes.
const (
	maxKeyLength  = 255
	maxNameLength = 600
)

// DefaultBounds returns the bounds for a control member with 64 MB of memory.
func DefaultBounds() Bounds {
	return Bounds{
		Retention: 24 * time.Hour, Claims: 50_000, PerOrganisation: 20_000,
		AnswerBytes: 4 << 10, TotalBytes: 8 << 20, ExpireBatch: 1000,
	}
}

// record is one stored claim.
type record struct {
	Key       Key     `json:"key"`
	Digest    string  `json:"digest"`
	RequestID string  `json:"request_id"`
	Agent     Agent   `json:"agent"`
	State     State   `json:"state"`
	Answer    *Answer `json:"answer,omitempty"`
	SinceMS   int64   `json:"since_ms"`
	removed   bool
}

// Module is the claims module of the replicated state machine.
type Module struct {
	bounds      Bounds
	byKey       map[Key]*record
	queue       []*record // oldest first; removed records stay until they reach the front
	claimsByOrg map[string]int
	answerBytes int // of stored answers
	clockMS     int64
}

// NewModule returns a module without claims.
func NewModule(bounds Bounds) *Module {
	return &Module{bounds: bounds, byKey: make(map[Key]*record), claimsByOrg: make(map[string]int)}
}

// Name returns ModuleName.
func (m *Module) Name() string { return ModuleName }

// Len returns the number of claims.
func (m *Module) Len() int { return len(m.byKey) }

// Apply executes a Command.
func (m *Module) Apply(_ uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "claim command")
	}
	m.clockMS = max(m.clockMS, cmd.AtMS) // the time of commands never goes back
	outcome, err := m.execute(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(outcome)
}

func (m *Module) execute(c Command) (Outcome, error) {
	if err := validate(c); err != nil {
		return Outcome{}, err
	}
	switch c.Op {
	case Claim:
		return m.claim(c), nil
	case Sent:
		return m.recordState(c, StateSent), nil
	case Done:
		return m.recordState(c, StateDone), nil
	case Unknown:
		return m.recordState(c, StateUnknown), nil
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

func validate(c Command) error {
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
			return errors.NotValidf("claim with a field of %d bytes", len(s))
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
		return r.outcome(StateClaimed) // resent command
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
	if len(m.byKey) >= m.bounds.Claims || m.claimsByOrg[c.Key.Organisation] >= m.bounds.PerOrganisation {
		return Outcome{State: StateFull}
	}
	r := &record{Key: c.Key, Digest: c.Digest, RequestID: c.RequestID, Agent: c.Agent, State: StateClaimed, SinceMS: m.clockMS}
	m.insert(r)
	return r.outcome(StateClaimed)
}

func (m *Module) insert(r *record) {
	m.byKey[r.Key] = r
	m.queue = append(m.queue, r)
	m.claimsByOrg[r.Key.Organisation]++
	if r.Answer != nil {
		m.answerBytes += r.Answer.size()
	}
}

// recordState records the state of a claim's request. Done is final; unknown may still become done.
func (m *Module) recordState(c Command, to State) Outcome {
	r, ok := m.byKey[c.Key]
	if !ok || r.RequestID != c.RequestID {
		return Outcome{State: StateNotHeld}
	}
	if r.State == StateDone || (r.State == StateUnknown && to == StateSent) {
		return r.outcome(r.State)
	}
	r.State = to
	if to == StateDone && c.Answer != nil {
		r.Answer = m.storableAnswer(*c.Answer)
		m.answerBytes += r.Answer.size()
	}
	return r.outcome(r.State)
}

// storableAnswer returns the answer to store: only its status if it exceeds the bounds.
func (m *Module) storableAnswer(a Answer) *Answer {
	if n := a.size(); n > m.bounds.AnswerBytes || m.answerBytes+n > m.bounds.TotalBytes {
		return &Answer{Status: a.Status, Omitted: true}
	}
	return &a
}

// release removes the claim of a request that is proven not to have run. A claim in StateDone contradicts the proof and
// is kept.
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
	r.removed = true
	if m.claimsByOrg[r.Key.Organisation]--; m.claimsByOrg[r.Key.Organisation] == 0 {
		delete(m.claimsByOrg, r.Key.Organisation)
	}
	if r.Answer != nil {
		m.answerBytes -= r.Answer.size()
	}
}

// takeOver transfers the key of a request that is proven not to have run to another request. Of several requests that
// take over from the same one, only the first gets the key.
func (m *Module) takeOver(c Command) Outcome {
	r, ok := m.byKey[c.Key]
	if ok && r.Digest == c.Digest && r.RequestID == c.Previous && r.State != StateDone {
		m.remove(r)
	}
	return m.claim(c)
}

// expire deletes the oldest expired claims, at most ExpireBatch to bound the run time of one command.
func (m *Module) expire() int {
	before := m.clockMS - m.bounds.Retention.Milliseconds()
	n := 0
	for len(m.queue) > 0 && n < m.bounds.ExpireBatch {
		r := m.queue[0]
		if !r.removed && r.SinceMS > before {
			break
		}
		m.queue[0] = nil
		m.queue = m.queue[1:]
		if !r.removed {
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
		if !r.removed {
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
		m.insert(r)
	}
	return nil
}
