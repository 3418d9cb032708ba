package gateway

import (
	"net/http"
	"time"
)

// Dialect is how callers and backend servers of a deployment state what the gateway must know, in headers.
type Dialect interface {
	// Call reads what a caller states of its request. The error says what is wrong with it.
	Call(h http.Header) (Call, error)
	// Forward turns the headers of a caller's request into those that a backend server gets: without the caller's
	// credential and without what only the system may state.
	Forward(h http.Header, f Forwarding)
	// Reply reads what a backend server states with the head of an answer.
	Reply(status int, h http.Header) Reply
}

// Call is what a caller states of a request.
type Call struct {
	ID     string
	Wait   time.Duration // longest time that the caller waits; 0: not stated
	Key    string        // credential; empty: none
	Prompt Prompt
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Tokens       int
	OutputTokens int          // most that may be generated
	Parts        []PromptPart // in order; empty: not stated
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Forwarding is what the gateway states of a request that it sends to a backend server.
type Forwarding struct {
	Remaining    time.Duration // until the answer must be there
	ServerID     string        // no other backend server may run the request
	Organisation string        // empty: a public route
	Rank         int           // 0 goes first
	Ranks        int           // number of ranks
	ResumeAfter  string        // id of the last event that arrived; empty: from the beginning
	FetchFrom    string        // address of a backend server that holds the beginning of the prompt; empty: none
	BackupTo     string        // address of the backend server that keeps a backup of the run's memory; empty: none
	ContinueAt   string        // address of the backend server whose backup the run continues from; empty: a new run
}

// Reply is what a backend server states with an answer.
type Reply struct {
	RequestID string
	NotRun    bool // the server didn't run the request and never will
	Elsewhere bool // another server has the address
	Genuine   bool // the answer bears the server's signature
	Load      Load
}

// Load is what a backend server says of its load. Slots is 0 where it says nothing.
type Load struct {
	Running, Waiting, Slots int
}
