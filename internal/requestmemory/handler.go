package requestmemory

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// handlerTimeout bounds the time in which a body that ReadAll reads must arrive.
	handlerTimeout = 10 * time.Second
	// largeBytes is the size from which complete bodies are handled one at a time, since parsing takes a multiple of their size.
	largeBytes = 256 << 10
	// operatorWait bounds the wait of an operator's body for memory, and for its turn. Operators' calls are sent again after 1 s.
	operatorWait = 800 * time.Millisecond
	// joiningWait bounds the wait of a body for memory if it is read by a request of JoiningHandler.
	joiningWait = 2 * time.Second
)

// sessionKey is the key of the session in the context of a request.
type sessionKey struct{}

// session holds what a request of Handler has read until it ends.
type session struct {
	memory *Memory
	turns  chan struct{} // nil: large bodies need no turn

	mu      sync.Mutex
	body    *Body
	hasTurn bool
}

// Handler returns a handler whose requests read their bodies with ReadAll on m. The memory is released when a request has ended.
// Large bodies are handled one at a time.
func (m *Memory) Handler(next http.Handler) http.Handler {
	return m.handler(next, make(chan struct{}, 1))
}

// JoiningHandler is like Handler, for requests that may take long: large bodies are handled concurrently. A body of several blocks counts twice,
// since it is held in its blocks and in one piece while they are joined.
func (m *Memory) JoiningHandler(next http.Handler) http.Handler { return m.handler(next, nil) }

func (m *Memory) handler(next http.Handler, turns chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// A request that is answered before its body is read must not wait for the body without a limit.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(handlerTimeout))
		}
		s := &session{memory: m, turns: turns}
		defer s.end()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), sessionKey{}, s)))
	})
}

// ReadAll reads the body of a request of a Handler, of at most limit bytes. An error that is not caused by the connection is a *Refusal. A
// request without a Handler is read without accounting.
func ReadAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	return ReadOwned(w, r, "", limit, handlerTimeout)
}

// ReadOwned is ReadAll for a body that counts as an organisation's, unless that is empty, and must arrive within the timeout.
func ReadOwned(w http.ResponseWriter, r *http.Request, organisation string, limit int64, timeout time.Duration) ([]byte, error) {
	s, ok := r.Context().Value(sessionKey{}).(*session)
	if !ok {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		return data, errors.Trace(err)
	}
	req := Request{Owner: Owner(organisation, r), MaxBytes: limit, Timeout: timeout, MaxWait: operatorWait}
	if s.turns == nil {
		req.MaxWait, req.IsCopied = joiningWait, true
	}
	body, err := s.memory.Read(w, r, req)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.body = body
	s.mu.Unlock()
	if s.turns != nil && body.Size() >= largeBytes {
		if err := s.takeTurn(r.Context()); err != nil {
			return nil, err
		}
	}
	return body.Bytes(), nil
}

// takeTurn waits until no other large body is handled.
func (s *session) takeTurn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorWait)
	defer cancel()
	select {
	case s.turns <- struct{}{}:
		s.mu.Lock()
		s.hasTurn = true
		s.mu.Unlock()
		return nil
	case <-ctx.Done():
		return noMemory()
	}
}

// end releases what the request holds.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body.Release()
	if s.hasTurn {
		<-s.turns
	}
}

// Owner returns the owner of the memory of a request's body: the organisation or, if that is empty, the client's address.
func Owner(organisation string, r *http.Request) string {
	if organisation != "" {
		return "organisation " + organisation
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return "address " + host
}
