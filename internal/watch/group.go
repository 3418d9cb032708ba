package watch

import "github.com/guavastack/guavastack/proto/controlpb"

// controlGroup is the control group that a client watches. The zero value is not known.
type controlGroup struct {
	number  uint64   // 0: the member's build does not send it
	members []string // addresses
}

// applyMembers stores the members of the control group if the update has them.
func (s *session) applyMembers(u *controlpb.WatchUpdate) {
	if len(u.Members) == 0 {
		return
	}
	s.client.mergeMembers(u.Members, s.client.cfg.Control)
	members := u.Members[:min(len(u.Members), maxControlMembers)]
	s.client.group.Store(&controlGroup{number: u.ControlGroup, members: members})
}

// nameMembers adds the members of the control group to the first request of the session, if they are known. The member that gets it may have
// lost its disk and know none.
func (s *session) nameMembers(q *controlpb.WatchRequest) {
	if s.hasNamed {
		return
	}
	group := s.client.group.Load()
	q.ControlGroup, q.ControlMembers = group.number, group.members
	s.hasNamed = len(group.members) > 0
}
