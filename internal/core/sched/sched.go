// Package sched decides which waiting request a backend server runs next.
//
// Each agent has one Scheduler. Its methods take an event with the current time and return the actions that the agent must
// perform. A Scheduler has no side effects, reads no clock and is not safe for concurrent use.
package sched

import "time"

// Request describes one attempt of a request.
type Request struct {
	ID           string
	Organisation string
	Class        string
	Tier         int // 0 is the highest

	Weight     float64 // fair-share weight of the organisation; 0 counts as 1
	FloorShare float64 // minimum share of starts guaranteed to the class, 0..1; 0: the scheduler's default; negative: none

	Deadline           time.Time // for the complete answer; zero: none
	FirstTokenTarget   time.Duration
	BetweenTokenTarget time.Duration

	PromptTokens int
	CachedTokens int // of the prompt, expected in the engine's prefix cache

	Repeatable  bool
	Preemptible bool
	Resumable   bool // the engine can continue a preempted run without recomputing it
}

// ActionKind is the operation that the agent must perform on a request.
type ActionKind uint8

const (
	// Start sends the request to the backend server.
	Start ActionKind = iota + 1
	// Preempt stops the running request; its slot is free once the agent calls Finish.
	Preempt
	// Return returns a waiting request that has not run to its entry, which may send it to another server.
	Return
	// Refuse rejects an arriving or waiting request that this server cannot serve.
	Refuse
)

// Reason is why a request was returned, refused or preempted.
type Reason uint8

const (
	// QueueFull: the queue is full and no request of a lower tier can be displaced.
	QueueFull Reason = iota + 1
	// Displaced: another request took the place in the queue.
	Displaced
	// DeadlineUnreachable: the deadline can no longer be met.
	DeadlineUnreachable
	// Leaving: the backend server is draining.
	Leaving
	// HigherTier: a request of a higher tier needs the slot.
	HigherTier
)

// Action is one decision.
type Action struct {
	Kind       ActionKind
	ID         string
	Reason     Reason
	RetryAfter time.Duration // with Return and Refuse

	// Started is set if the request has run before, so that it must not be reported as not run.
	Started bool
}

// Load is a snapshot of a scheduler's load.
type Load struct {
	Slots         int // learned batch size
	Running       int
	Waiting       int
	QueueLimit    int
	RunningByTier []int
	WaitingByTier []int

	// LowestTier is the lowest tier with a request that can be displaced or preempted; valid with HasDisplaceable.
	LowestTier      int
	HasDisplaceable bool

	TokenInterval time.Duration // between tokens at the current batch size
	FirstToken    time.Duration // expected time to the first token for a new request of the lowest tier with an empty prompt
}
