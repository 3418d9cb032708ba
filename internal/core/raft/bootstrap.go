package raft

import (
	"sort"
	"time"
)

// canBootstrap reports whether this member may bootstrap the group: its log is empty and it has the lowest ID of the
// initial members.
func (n *Node) canBootstrap() bool {
	if !n.isBlank() || len(n.cfg.InitialMembers) == 0 {
		return false
	}
	listed := false
	for _, m := range n.cfg.InitialMembers {
		if m.ID < n.cfg.ID {
			return false
		}
		listed = listed || m.ID == n.cfg.ID
	}
	return listed
}

// tickBootstrap bootstraps the group once every initial member has replied that its log is empty. A member that lost its disk
// gets no such replies from the others, so it cannot bootstrap a second group.
func (n *Node) tickBootstrap(now time.Time) {
	if now.Before(n.nextHello) {
		return
	}
	if len(n.blankPeers) == len(n.cfg.InitialMembers)-1 {
		n.bootstrap(now)
		return
	}
	n.nextHello = now.Add(n.cfg.HeartbeatInterval)
	for _, m := range n.cfg.InitialMembers {
		if m.ID != n.cfg.ID {
			n.send(Message{Kind: Hello, To: m.ID})
		}
	}
}

func (n *Node) stepHello(m Message) {
	if m.Kind == Hello {
		n.replySynced(m, Message{Kind: HelloReply, Index: n.log.last()})
		return
	}
	if m.Index == 0 {
		n.blankPeers[m.From] = m.FromIncarnation
	} else {
		delete(n.blankPeers, m.From)
	}
}

// bootstrap appends the first configuration, which holds the incarnation of each initial member, and campaigns.
func (n *Node) bootstrap(now time.Time) {
	conf := Configuration{Epoch: n.cfg.Epoch}
	for _, m := range n.cfg.InitialMembers {
		m.Incarnation = n.blankPeers[m.ID]
		if m.ID == n.cfg.ID {
			m.Incarnation = n.cfg.Incarnation
		}
		conf.Members = append(conf.Members, m)
	}
	sort.Slice(conf.Members, func(i, j int) bool { return conf.Members[i].ID < conf.Members[j].ID })
	data, err := conf.encode()
	if err != nil {
		return
	}
	n.term = max(n.term, 1)
	n.hardStateDirty = true
	n.appendOwn(EntryConfiguration, data)
	n.campaign(now, false)
}
