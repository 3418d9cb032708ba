// Package sched decides which waiting request a backend server runs next.
//
// A Scheduler belongs to one agent. It takes events with the current time and returns actions; it starts nothing
// itself, reads no clock and is not safe for concurrent use.
package sched

import "time"

// Request is what the scheduler knows of one attempt of a request.
type Request struct {
	ID           string
	Organisation string
	Class        string
	Tier         int // 0 is the highest

	Weight     float64 // of the organisation in the fair share; 0 counts as 1
	FloorShare float64 // least share of starts of the class, 0..1

	Deadline           time.Time // of the whole answer; zero: none
	FirstTokenTarget   time.Duration
	BetweenTokenTarget time.Duration

	PromptTokens int
	CachedTokens int // of the prompt, expected in the engine's prefix cache

	Repeatable  bool
	Preemptible bool
	Resumable   bool // the engine can go on where it was stopped
}

// ActionKind is what the agent must do with a request.
type ActionKind uint8

const (
	// Start sends the request to the backend server.
	Start ActionKind = iota + 1
	// Preempt stops the running request; its slot is free once the agent calls Finish.
	Preempt
	// Return gives a waiting request back to its entry, not run, to be placed elsewhere.
	Return
	// Refuse gives an arriving or waiting request back, not run, because no placement here can help.
	Refuse
)

// Reason says why a request was returned, refused or preempted.
type Reason uint8

const (
	// QueueFull: nothing of a lower tier waits here.
	QueueFull Reason = iota + 1
	// Displaced: a request of a higher tier took the place in the queue.
	Displaced
	// Hopeless: the deadline cannot be met any more.
	Hopeless
	// Leaving: the backend server takes no new work.
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

	// Started is set where the request has run before, so that it must not be reported as not run.
	Started bool
}

// Load is what a scheduler tells of itself.
type Load struct {
	Slots         int // learned batch size
	Running       int
	Waiting       int
	QueueLimit    int
	RunningByTier []int
	WaitingByTier []int

	// LowestTier is the lowest tier that waits or runs displaceably here; valid with HasDisplaceable.
	LowestTier      int
	HasDisplaceable bool

	TokenInterval time.Duration // between tokens at the present batch size
	FirstToken    time.Duration // expected for an arrival of the lowest tier now
}
