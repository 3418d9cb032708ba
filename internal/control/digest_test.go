package control

import (
	"strconv"
	"testing"
	"time"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// soloGroup is the Group of a member without a leader.
type soloGroup struct{ Group }

func (soloGroup) Self() Member           { return Member{ID: "1"} }
func (soloGroup) Leader() (Member, bool) { return Member{}, false }

// TestDigestRenewsServersAtIntervals covers a member to which many backend servers report: while nothing changes, each is renewed at
// another member once an interval, however often digests are sent, and a peer that lost its state gets the full reports.
func TestDigestRenewsServersAtIntervals(t *testing.T) {
	const servers, heartbeat, duration = 200, 1200 * time.Millisecond, 24 * time.Second
	s := New(Config{Group: soloGroup{}})
	start := time.Now()
	var have peerState
	fullReports, renewals := 0, 0
	lastRenewal := make(map[string]time.Time)
	for at := time.Duration(0); at < duration; at += exchangeInterval / 5 {
		now := start.Add(at)
		if at%heartbeat == 0 {
			for i := range servers {
				b := &controlpb.BackendServer{Id: strconv.Itoa(i), Incarnation: "1", Lifecycle: "ready", Sequence: uint64(at/heartbeat) + 1}
				s.soft.putBackend(b, now, true)
			}
		}
		var digest *controlpb.Digest
		digest, have = s.digest(have, now)
		fullReports += len(digest.Backends)
		renewals += len(digest.Renewals)
		for _, r := range digest.Renewals {
			lastRenewal[r.Id] = now
		}
	}
	if fullReports != servers {
		t.Errorf("%d full reports, want one of each of %d servers", fullReports, servers)
	}
	if most := servers * int(duration/heartbeat); renewals > most || renewals < most/2 {
		t.Errorf("%d renewals in %v, want one for each heartbeat at most, %d, and half of them at least", renewals, duration, most)
	}
	for id, at := range lastRenewal {
		if age := start.Add(duration).Sub(at); age > DefaultRegistryTTL/2 {
			t.Errorf("server %s was renewed %v ago, want half of its time to live at most", id, age)
		}
	}
	if digest, _ := s.digest(peerState{}, start.Add(duration)); len(digest.Backends) != servers {
		t.Errorf("%d full reports for a peer without state, want %d", len(digest.Backends), servers)
	}
}
