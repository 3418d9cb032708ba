package gateway

import (
	"net/http"
	"time"
)

// Dialect defines the headers by which the callers and backend servers of a deployment exchange metadata with the gateway.
type Dialect interface {
	// ParseCall parses the headers of a caller's request. The error is returned to the caller as the reason of a refusal.
	ParseCall(h http.Header) (Call, error)
	// RewriteHeaders rewrites the headers of a caller's request into those of the request to a backend server. It removes the
	// caller's credential and any header that only the system may set.
	RewriteHeaders(h http.Header, f Forwarding)
	// ParseReply parses the headers of a backend server's answer.
	ParseReply(status int, h http.Header) Reply
}

// Call is the metadata of a caller's request.
type Call struct {
	ID      string
	Timeout time.Duration // the caller's timeout; 0: not stated
	Key     string        // credential; empty: none
	Prompt  Prompt
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Tokens          int
	MaxOutputTokens int          // maximum to generate
	Parts           []PromptPart // in order; empty: not stated
}

// PromptPart is a part of a prompt, which other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Forwarding is the metadata that the gateway adds to a request for a backend server.
type Forwarding struct {
	Remaining    time.Duration // until the deadline
	ServerID     string        // the only backend server that may run the request
	Organisation string        // empty: a public route
	Rank         int           // 0 is served first
	Ranks        int           // number of ranks
	ResumeAfter  string        // id of the last event received; empty: start from the beginning
	FetchFrom    string        // address of a backend server that caches the prompt prefix; empty: none
	BackupTo     string        // address of the backend server that is to keep a backup of the run's state; empty: none
	ContinueFrom string        // address of the backend server whose backup the run resumes from; empty: a new run
}

// Reply is the metadata of a backend server's answer.
type Reply struct {
	RequestID   string
	NotRun      bool // the server has not run the request and never will
	Misdirected bool // the address belongs to another server
	Signed      bool // the answer bears the server's signature
	Load        Load
	RateLimit   float64 // requests per second that the server takes from all gateways together; 0: not limited
	Leaves      bool    // the server says that it leaves and takes no new work
	// Pause is the time for which the server wants nothing from this gateway; 0: none.
	Pause time.Duration
	// Cold is how much longer the server is cold, if the answer states it; 0: it is warm.
	Cold       time.Duration
	StatesCold bool
}

// Load is the load that a backend server reports, in requests. Slots is 0 if it reports none.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the server at this moment, relative to its usual time; 0: not stated.
	Slowdown float64
}
