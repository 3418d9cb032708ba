package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/wal/waltest"
)

const (
	// settleTime is the time after the last fault within which a group must be stable again.
	settleTime = 3 * time.Second
	// acknowledgeTime bounds the time to acknowledge a change in a stable group.
	acknowledgeTime = 4 * time.Second
	// applyTime bounds the time from the acknowledgement of a change until all members have it in force.
	applyTime = 2 * time.Second
)

// setFull makes the disk of a member full, or gives it room again. Its free space tells so only with reportsFree.
func (c *cluster) setFull(id uint64, full, reportsFree bool) {
	disk := c.disks[id].(*waltest.FS)
	disk.SetFull(full)
	if reportsFree {
		free := uint64(1 << 30)
		if full {
			free = 0
		}
		disk.SetFree(free)
	}
}

// proposeUntil sends a change every interval to each member in turn, whatever becomes of it, until stop is closed. It returns the changes that
// were acknowledged, in order.
func (c *cluster) proposeUntil(stop <-chan struct{}, interval time.Duration, size int) []string {
	var acknowledged []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return acknowledged
		case <-time.After(interval):
		}
		data := fmt.Sprintf("%0*d", size, n)
		for i := range c.members {
			p := c.procs[c.members[(n+i)%len(c.members)].ID]
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := p.Propose(ctx, []byte(data))
			cancel()
			if err == nil {
				acknowledged = append(acknowledged, data)
				break
			}
		}
	}
}

// acknowledge proposes a change to one member after the other until one acknowledges it, for at most acknowledgeTime, as an operator does.
func (c *cluster) acknowledge(data string) bool {
	all, cancel := context.WithTimeout(context.Background(), acknowledgeTime)
	defer cancel()
	for ; all.Err() == nil; time.Sleep(50 * time.Millisecond) {
		for _, m := range c.members {
			ctx, cancel := context.WithTimeout(all, time.Second)
			_, err := c.procs[m.ID].Propose(ctx, []byte(data))
			cancel()
			if err == nil {
				return true
			}
		}
	}
	return false
}

// fillDisksInTurn makes the disk of each member full for some time, one after another. With leaderFirst the disk of the current leader is next,
// unless it was full before.
func (c *cluster) fillDisksInTurn(fullFor, pause time.Duration, leaderFirst, reportsFree bool) {
	left := c.ids()
	for len(left) > 0 {
		id := left[0]
		if leader := c.leader(c.ids()...).cfg.ID; leaderFirst && slices.Contains(left, leader) {
			id = leader
		}
		left = slices.DeleteFunc(left, func(other uint64) bool { return other == id })
		c.setFull(id, true, reportsFree)
		time.Sleep(fullFor)
		c.setFull(id, false, reportsFree)
		time.Sleep(pause)
	}
}

// checkInForce checks that a member has applied the change last, and all that was acknowledged before in order, and that it answers a read.
func (c *cluster) checkInForce(id uint64, acknowledged []string, last string) {
	c.t.Helper()
	p := c.procs[id]
	if got := p.commands(); !containsInOrder(got, append(acknowledged, last)) {
		c.t.Errorf("member %d lacks an acknowledged change, or applied it out of order; %d of %d applied", id, len(got), len(acknowledged)+1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := p.ReadIndex(ctx); err != nil {
		c.t.Errorf("read at member %d: %v", id, err)
	}
}

// Guards against a group that refuses changes or leaves them unanswered for good, since the disk of each member was full for some seconds,
// one after another: a change afterwards is acknowledged and in force at all members, and nothing acknowledged is lost.
func TestChangesAfterDisksWereFullInTurn(t *testing.T) {
	const changeBytes = 1000
	type turns struct {
		size           int
		fullFor, pause time.Duration // of each disk, and between two
		changes        time.Duration // between two changes
	}
	for _, s := range []turns{
		{3, 300 * time.Millisecond, 0, 20 * time.Millisecond},
		{3, 3 * time.Second, 0, 20 * time.Millisecond},
		{4, 3 * time.Second, 4 * time.Second, 20 * time.Millisecond},
		{5, 5 * time.Second, 200 * time.Millisecond, 20 * time.Millisecond},
		{3, 9 * time.Second, 4 * time.Second, 5 * time.Millisecond}, // so many changes that the member needs a snapshot
	} {
		for _, leaderFirst := range []bool{false, true} {
			for _, reportsFree := range []bool{false, true} {
				t.Run(fmt.Sprintf("%+v, leader first %v, reports free space %v", s, leaderFirst, reportsFree), func(t *testing.T) {
					inBubble(t, s.size, func(t *testing.T, c *cluster) {
						c.adjust = func(cfg *Config) { cfg.CompactEntries = 40 }
						c.startAll()
						stop := make(chan struct{})
						var acknowledged []string
						var operator sync.WaitGroup
						operator.Go(func() { acknowledged = c.proposeUntil(stop, s.changes, changeBytes) })
						c.fillDisksInTurn(s.fullFor, s.pause, leaderFirst, reportsFree)
						time.Sleep(settleTime)
						close(stop)
						operator.Wait()
						const last = "last"
						if !c.acknowledge(last) {
							t.Fatal("a change after the last disk had room again was not acknowledged")
						}
						time.Sleep(applyTime)
						for _, id := range c.ids() {
							c.checkInForce(id, acknowledged, last)
						}
						if len(acknowledged) == 0 {
							t.Error("no change was acknowledged while the disks were full in turn")
						}
					})
				})
			}
		}
	}
}

// ids returns the ids of all members.
func (c *cluster) ids() []uint64 { return c.others(0) }

// containsInOrder reports whether list contains all of want in this order.
func containsInOrder(list, want []string) bool {
	for _, data := range list {
		if len(want) > 0 && data == want[0] {
			want = want[1:]
		}
	}
	return len(want) == 0
}
