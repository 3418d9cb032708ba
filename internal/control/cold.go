package control

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
	"google.golang.org/protobuf/proto"
)

// renewalTolerance is the difference of two members' cold times of a server from which the receiver of a renewal needs the full report.
// Smaller ones result from the transfer time of digests.
const renewalTolerance = time.Second

// coldTimes hold until when each backend server is cold, by id. Times that have passed mean that the server is warm.
type coldTimes map[string]time.Time

// untilOf returns until when a server is cold by a report or renewal received at now; the zero time: it is warm.
func untilOf(remainingMS int64, now time.Time) time.Time {
	if remainingMS <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(remainingMS, route.MaxCold.Milliseconds())) * time.Millisecond)
}

// remainingMS returns how much longer a server is cold at now. Fractions of a millisecond are rounded up.
func (c coldTimes) remainingMS(id string, now time.Time) int64 {
	left := c[id].Sub(now)
	if left <= 0 {
		return 0
	}
	return int64((left + time.Millisecond - 1) / time.Millisecond)
}

// differs reports whether a renewal received at now states another cold time than is known.
func (c coldTimes) differs(r *controlpb.Renewal, now time.Time) bool {
	known := time.Duration(c.remainingMS(r.Id, now)) * time.Millisecond
	stated := time.Duration(min(max(r.ColdRemainingMs, 0), route.MaxCold.Milliseconds())) * time.Millisecond
	return known-stated >= renewalTolerance || stated-known >= renewalTolerance
}

// recordCold stores the cold time of a report that was stored in the registry. known is false for a new incarnation. mu must be held.
func (s *softState) recordCold(b *controlpb.BackendServer, now time.Time, known, direct bool) {
	reg, ok := s.registry.Get(b.Id)
	if !ok || reg.Report.Detail != b {
		return // only the lifecycle was taken over from the report
	}
	before, until := s.cold[b.Id], untilOf(b.ColdRemainingMs, now)
	if known && !route.IsColdChange(now, before, until) {
		return // watchers are not told of the difference; storing it would let several of them add up
	}
	s.cold[b.Id] = until
	wasCold := known && before.After(now)
	if isCold := until.After(now); isCold != wasCold {
		s.cfg.Logger.Info("backend server turned cold or warm", "backend_server", b.Id, "cold", isCold,
			"cold_remaining_ms", b.ColdRemainingMs, "incarnation", b.Incarnation, "sequence", b.Sequence, "at_first_hand", direct)
	}
}

// backendOf returns the message of a registration, with the lifecycle and sequence number of the registry and the remaining cold time at
// now. mu must be held.
func (s *softState) backendOf(reg member.Registration[*controlpb.BackendServer], now time.Time) *controlpb.BackendServer {
	b := reg.Report.Detail
	remaining := s.cold.remainingMS(b.Id, now)
	if b.Lifecycle == string(reg.Report.Lifecycle) && b.Sequence == reg.Report.Sequence && b.ColdRemainingMs == remaining {
		return b
	}
	c := proto.Clone(b).(*controlpb.BackendServer)
	c.Lifecycle, c.Sequence, c.ColdRemainingMs = string(reg.Report.Lifecycle), reg.Report.Sequence, remaining
	return c
}
