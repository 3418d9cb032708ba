package control

import (
	"maps"
	"slices"

	"github.com/guavastack/guavastack/internal/core/limit"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// roleEntry is the role of the processes that share limits.
const roleEntry = "entry"

// limitSharesOf returns the share of one entry in the limits of each organisation, computed from the recent demand at all
// entries. The key "" holds the share for organisations without demand. The result is nil if the entry is not among
// processes.
func limitSharesOf(processes []member.Process, id string) map[string]limit.Share {
	idle := make(map[string]float64)
	demand := make(map[string]map[string]float64) // by organisation and entry
	for _, p := range processes {
		if p.Role != roleEntry {
			continue
		}
		idle[p.ID] = 0
		for _, d := range p.Demand {
			if demand[d.Organisation] == nil {
				demand[d.Organisation] = make(map[string]float64)
			}
			demand[d.Organisation][p.ID] = float64(d.Requests) + float64(d.Running)
		}
	}
	if _, ok := idle[id]; !ok {
		return nil
	}
	shares := map[string]limit.Share{"": limit.Shares(idle)[id]}
	for organisation, byEntry := range demand {
		all := maps.Clone(idle)
		maps.Copy(all, byEntry)
		shares[organisation] = limit.Shares(all)[id]
	}
	return shares
}

// rolePosition returns the position of a process among those of its role, which are sorted by id, and their number. Both are 0 if the
// process is not among them.
func rolePosition(processes []member.Process, id string) (position, count int) {
	self := slices.IndexFunc(processes, func(p member.Process) bool { return p.ID == id })
	if self < 0 {
		return 0, 0
	}
	for i, p := range processes {
		if p.Role != processes[self].Role {
			continue
		}
		if i < self {
			position++
		}
		count++
	}
	return position, count
}

// shareMessages converts shares to messages, sorted by organisation.
func shareMessages(shares map[string]limit.Share) []*controlpb.LimitShare {
	var out []*controlpb.LimitShare
	for _, organisation := range slices.Sorted(maps.Keys(shares)) {
		s := shares[organisation]
		out = append(out, &controlpb.LimitShare{
			Organisation: organisation, From: s.From, To: s.To, FloorFrom: s.FloorFrom, FloorTo: s.FloorTo,
		})
	}
	return out
}
