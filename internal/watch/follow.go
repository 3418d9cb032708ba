package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
)

const (
	// maxSessions is the number of members that are asked at the same time: until the first confirmation, since a member that has
	// just restarted may not be able to confirm anything yet, and while the current member does not confirm.
	maxSessions = 3
	// confirmationDelay is the time after a query from which the other members are asked too.
	confirmationDelay = 300 * time.Millisecond
	// failureMemory is how long a member that ended a session without a confirmation is tried after the others.
	failureMemory = 10 * time.Second
)

// follower keeps a session with a control member that confirms queries. While the current member does not confirm one in time,
// it opens sessions with others, and keeps the one that confirms first.
type follower struct {
	client  *Client
	running sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]context.CancelFunc
	next     int                  // position of the member to try next
	failedAt map[string]time.Time // by address
	ended    chan struct{}        // closed when no session is left
}

func newFollower(c *Client) *follower {
	return &follower{
		client: c, next: c.cfg.firstMember(),
		sessions: make(map[*session]context.CancelFunc), failedAt: make(map[string]time.Time),
	}
}

// follow opens sessions and returns when none is left. It reports whether a member has confirmed a query.
func (f *follower) follow(ctx context.Context) (confirmed bool) {
	before := f.client.confirmations.Load()
	f.mu.Lock()
	f.ended = make(chan struct{})
	ended := f.ended
	width := 1
	if !f.client.Ready() {
		width = maxSessions
	}
	f.open(ctx, width)
	f.mu.Unlock()
	<-ended
	f.client.member.Store(new(string))
	return f.client.confirmations.Load() > before
}

// open opens sessions with further members until there are width. It must be called with mu locked.
func (f *follower) open(ctx context.Context, width int) {
	for _, address := range f.candidates(time.Now()) {
		if len(f.sessions) >= width {
			return
		}
		sessionCtx, cancel := context.WithCancel(ctx)
		s := &session{client: f.client, address: address}
		s.onConfirmed = func() { f.keep(sessionCtx, s) }
		s.onUnconfirmed = func() { f.openOthers(ctx, sessionCtx) }
		f.sessions[s] = cancel
		f.next++
		f.running.Go(func() { f.run(sessionCtx, s) })
	}
}

// candidates returns the members without a session in the order in which they are tried. It must be called with mu locked.
func (f *follower) candidates(now time.Time) []string {
	members := f.client.controlMembers()
	var untried, failed []string
	for i := range members {
		address := members[(f.next+i)%len(members)]
		switch {
		case f.hasSession(address):
		case now.Sub(f.failedAt[address]) < failureMemory:
			failed = append(failed, address)
		default:
			untried = append(untried, address)
		}
	}
	slices.SortStableFunc(failed, func(a, b string) int { return f.failedAt[a].Compare(f.failedAt[b]) })
	return append(untried, failed...)
}

func (f *follower) hasSession(address string) bool {
	for s := range f.sessions {
		if s.address == address {
			return true
		}
	}
	return false
}

// recordFailure records that a member ended its session, and forgets old failures. It must be called with mu locked.
func (f *follower) recordFailure(now time.Time, address string) {
	maps.DeleteFunc(f.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= failureMemory })
	f.failedAt[address] = now
}

// keep ends the other sessions, unless s has been ended for one of them.
func (f *follower) keep(ctx context.Context, s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	for other, cancel := range f.sessions {
		if other != s {
			cancel()
		}
	}
}

// openOthers opens sessions with other members, unless the session that asks for it has ended.
func (f *follower) openOthers(ctx, sessionCtx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sessionCtx.Err() == nil {
		f.open(ctx, maxSessions)
	}
}

// run runs a session and logs why it ended, unless it was cancelled.
func (f *follower) run(ctx context.Context, s *session) {
	err := s.run(ctx)
	cancelled := ctx.Err() != nil
	if !cancelled {
		f.client.cfg.Logger.Info("watch of control member ended", "address", s.address, "error", err,
			"fresh_for_ms", f.client.FreshFor(clock.Now()).Milliseconds())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions[s]()
	delete(f.sessions, s)
	if !cancelled {
		f.recordFailure(time.Now(), s.address)
	}
	if len(f.sessions) == 0 {
		close(f.ended)
	}
}
