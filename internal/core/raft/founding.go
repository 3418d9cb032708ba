package raft

import (
	"sort"
	"time"
)

// isFounder reports whether this member may found the group: it is blank and has the lowest id.
func (n *Node) isFounder() bool {
	if !n.isBlank() || len(n.cfg.Founders) == 0 {
		return false
	}
	listed := false
	for _, m := range n.cfg.Founders {
		if m.ID < n.cfg.ID {
			return false
		}
		listed = listed || m.ID == n.cfg.ID
	}
	return listed
}

// tickFounder founds the group once every founder has answered that it is blank. A member that lost its disk is
// never alone in being blank, so it cannot found a second group beside the first.
func (n *Node) tickFounder(now time.Time) {
	if now.Before(n.helloAt) {
		return
	}
	if len(n.blankPeers) == len(n.cfg.Founders)-1 {
		n.found(now)
		return
	}
	n.helloAt = now.Add(n.cfg.HeartbeatInterval)
	for _, m := range n.cfg.Founders {
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

// found writes the first configuration, which names the disk of each founder.
func (n *Node) found(now time.Time) {
	conf := Configuration{Epoch: n.cfg.Epoch}
	for _, m := range n.cfg.Founders {
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
