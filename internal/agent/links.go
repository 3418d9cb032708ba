package agent

import (
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/proto/linkpb"
)

const (
	// maxEntries bounds the table of entry incarnations.
	maxEntries = 4096
	// entryTTL is how long an entry without a link stays in the table.
	entryTTL = 10 * time.Minute
)

// Open admits a link, or returns nil to reject it. A link of a higher epoch replaces the older link of the same entry;
// requests accepted on the older link continue, and the Welcome lists them.
func (a *Agent) Open(s *link.Session, hello *linkpb.Hello) *linkpb.Welcome {
	var welcome *linkpb.Welcome
	err := a.runInLoop(context.Background(), func(now time.Time) { welcome = a.openLink(now, s, hello) })
	if err != nil {
		return nil
	}
	return welcome
}

func (a *Agent) openLink(now time.Time, s *link.Session, hello *linkpb.Hello) *linkpb.Welcome {
	if a.closing {
		return nil
	}
	key := entryKey{hello.EntryId, hello.Incarnation}
	e := a.entries[key]
	if e == nil {
		e = &entry{key: key, incomplete: a.incompleteEntryEvicted}
		a.entries[key] = e
	}
	if hello.Epoch <= e.epoch {
		return nil
	}
	if old := e.session; old != nil {
		a.detachAll(now, old)
		old.Close()
	}
	e.epoch = hello.Epoch
	e.session = s
	e.lastSeen = now
	return &linkpb.Welcome{
		AgentId:     a.cfg.ID,
		Incarnation: a.cfg.Incarnation,
		Known:       a.startedRequests(e),
		Complete:    !e.incomplete,
	}
}

// startedRequests lists the requests of e that may have run or may still run.
func (a *Agent) startedRequests(e *entry) []string {
	var ids []string
	for id, r := range a.records {
		if r.entry == e && r.submit != nil && r.mayHaveRun() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Closed detaches a closed link; its requests wait for another link.
func (a *Agent) Closed(s *link.Session) {
	a.post(func(now time.Time) {
		a.detachAll(now, s)
		if e := a.entryOf(s); e != nil && e.session == s {
			e.session = nil
			e.lastSeen = now
		}
	})
}

func (a *Agent) entryOf(s *link.Session) *entry {
	h := s.Hello()
	return a.entries[entryKey{h.EntryId, h.Incarnation}]
}

func (a *Agent) detachAll(now time.Time, s *link.Session) {
	for _, r := range a.records {
		if r.session == s {
			r.session = nil
			r.orphanedAt = now
			if r.answer != nil {
				r.answer.detach()
			}
			a.markEvictable(now, r)
		}
	}
}

// Frame queues a frame for the loop.
func (a *Agent) Frame(s *link.Session, f *linkpb.EntryFrame) {
	a.post(func(now time.Time) { a.handleFrame(now, s, f) })
}

func (a *Agent) handleFrame(now time.Time, s *link.Session, f *linkpb.EntryFrame) {
	if a.closing {
		return // the Bye frame states that later frames are not handled
	}
	e := a.entryOf(s)
	current := e != nil && e.session == s
	if f.Submit != nil {
		a.submit(now, s, e, current, f.Submit)
		return
	}
	if !current {
		return // the link has been replaced
	}
	switch {
	case f.Cancel != nil:
		a.cancelRequest(now, e, f.Cancel)
	case f.Resume != nil:
		a.resume(now, s, e, f.Resume)
	case f.Fence != nil:
		v := a.fence(now, e, f.Fence)
		s.Send(&linkpb.AgentFrame{Fenced: &linkpb.Fenced{RequestId: f.Fence.RequestId, Verdict: v}, Load: a.Load()})
	case f.Credit != nil:
		if r := a.records[f.Credit.RequestId]; r != nil && r.answer != nil {
			r.answer.grant(s, f.Credit.Bytes)
		}
	case f.Ack != nil:
		if r := a.records[f.Ack.RequestId]; r != nil && (r.entry == e || r.session == s) {
			r.acked = true
			a.markEvictable(now, r)
		}
	}
}
