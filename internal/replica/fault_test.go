package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
	"github.com/guavastack/guavastack/internal/wal/waltest"
)

// inBubble runs a test in a synctest bubble, with a cluster of the given size on simulated disks.
func inBubble(t *testing.T, size int, fn func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, size)
		defer c.stop()
		for _, m := range c.members {
			c.disks[m.ID] = waltest.New()
		}
		fn(t, c)
	})
}

// crashAndRestart kills a process and restarts it from its synced data.
func (c *cluster) crashAndRestart(id uint64) {
	_ = c.procs[id].kill()
	c.disks[id] = c.disks[id].(*waltest.FS).Crash(0)
	c.start(id)
}

// waitForCommands waits up to 10 s of virtual time until a member has applied want.
func (c *cluster) waitForCommands(id uint64, want []string) {
	c.t.Helper()
	for range 1000 {
		if slices.Equal(c.procs[id].commands(), want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Errorf("member %d did not apply the expected commands within 10 s: got %d commands, want %d", id, len(c.procs[id].commands()), len(want))
}

func (c *cluster) others(id uint64) []uint64 {
	var ids []uint64
	for _, m := range c.members {
		if m.ID != id {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func TestKilledLeaderIsReplacedAndCatchesUp(t *testing.T) {
	inBubble(t, 3, func(_ *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1, 2, 3)
		old := c.leader(1, 2, 3).cfg.ID
		_ = c.procs[old].kill()
		c.propose("b", c.others(old)...)
		c.disks[old] = c.disks[old].(*waltest.FS).Crash(0)
		c.start(old)
		c.propose("c", 1, 2, 3)
		for id := range c.procs {
			c.waitForCommands(id, []string{"a", "b", "c"})
		}
	})
}

func TestCommandsSurviveCrashOfAllMembers(t *testing.T) {
	inBubble(t, 3, func(_ *testing.T, c *cluster) {
		c.adjust = func(cfg *Config) { cfg.CompactEntries = 300 }
		c.startAll()
		var want []string
		for i := range 1000 {
			want = append(want, fmt.Sprint(i))
			c.propose(want[i], 1, 2, 3)
		}
		for id := uint64(1); id <= 3; id++ {
			_ = c.procs[id].kill()
			c.disks[id] = c.disks[id].(*waltest.FS).Crash(0)
		}
		c.startAll()
		c.leader(1, 2, 3)
		for id := range c.procs {
			c.waitForCommands(id, want)
		}
	})
}

// TestIsolatedFollowerDoesNotDisruptLeader partitions a follower for a minute: the others keep their leader and term, and
// the follower catches up from a snapshot.
func TestIsolatedFollowerDoesNotDisruptLeader(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.adjust = func(cfg *Config) { cfg.CompactEntries = 700 }
		c.startAll()
		leader := c.leader(1, 2, 3)
		term := leader.Status().Term
		lost := c.others(leader.cfg.ID)[0]
		c.net.partition(member(lost).Address)
		var want []string
		for i := range 1500 {
			want = append(want, fmt.Sprintf("%01000d", i)) // large enough for a snapshot of several parts
			c.propose(want[i], leader.cfg.ID)
		}
		time.Sleep(time.Minute)
		c.net.heal(member(lost).Address)
		c.waitForCommands(lost, want)
		if got := leader.Status(); got.Term != term || got.Role != raft.Leader {
			t.Errorf("got term %d, role %v, want term %d, role leader", got.Term, got.Role, term)
		}
	})
}

// TestIsolatedLeaderServesNothing partitions the leader: its lease expires, it answers no read and its proposal has an
// unknown outcome.
func TestIsolatedLeaderServesNothing(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		old := c.leader(1, 2, 3)
		c.net.partition(member(old.cfg.ID).Address)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, err := old.Propose(ctx, []byte("lost")); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("proposal: got %v, want %v", err, ErrUnknownOutcome)
		}
		if _, ok := old.Lease(); ok {
			t.Error("the isolated leader still has a lease")
		}
		readCtx, cancelRead := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancelRead()
		if _, err := old.ReadIndex(readCtx); err == nil {
			t.Error("the isolated leader answered a read")
		}
		c.propose("kept", c.others(old.cfg.ID)...)
		c.net.heal(member(old.cfg.ID).Address)
		c.waitForCommands(old.cfg.ID, []string{"kept"})
	})
}

// TestConnectionReplacedWhenOneDirectionStalls makes one direction of the connections between leader and follower drop
// all data without an error. New connections work, so the follower must receive the next command.
func TestConnectionReplacedWhenOneDirectionStalls(t *testing.T) {
	for _, towards := range []string{"leader", "follower"} {
		t.Run(towards, func(t *testing.T) {
			inBubble(t, 3, func(_ *testing.T, c *cluster) {
				c.startAll()
				c.propose("a", 1, 2, 3)
				from := c.leader(1, 2, 3).cfg.ID
				to := c.others(from)[0]
				if towards == "leader" {
					c.net.dropDirection(member(to).Address, member(from).Address)
				} else {
					c.net.dropDirection(member(from).Address, member(to).Address)
				}
				c.propose("b", 1, 2, 3)
				for id := range c.procs {
					c.waitForCommands(id, []string{"a", "b"})
				}
			})
		})
	}
}

// TestMemberWithReplacedDisk replaces the disk of a member by a blank one. The member must neither bootstrap a group nor vote.
// After it is removed and added again it catches up, and the group survives the loss of another member.
func TestMemberWithReplacedDisk(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1, 2, 3)
		lost := uint64(1) // the member that bootstrapped the group
		_ = c.procs[lost].kill()
		c.disks[lost] = waltest.New()
		blank := c.start(lost)
		c.propose("b", 2, 3)
		time.Sleep(time.Minute)
		if got := blank.Status(); got.LastIndex != 0 || got.Role == raft.Leader {
			t.Fatalf("the blank member has last index %d as %v, want an empty log and no leadership", got.LastIndex, got.Role)
		}
		leader := c.leader(2, 3)
		if got := leader.Status().IncarnationMismatches; !slices.Contains(got, lost) {
			t.Errorf("got incarnation mismatches %v, want member %d", got, lost)
		}
		for _, err := range []error{
			leader.Remove(t.Context(), lost),
			leader.AddLearner(t.Context(), member(lost)),
			leader.Promote(t.Context(), lost),
		} {
			if err != nil {
				t.Fatal(err)
			}
		}
		c.waitForCommands(lost, []string{"a", "b"})
		_ = c.procs[3].kill()
		c.propose("c", 1, 2)
		c.waitForCommands(lost, []string{"a", "b", "c"})
	})
}

// TestTwoMemberLossesWithReplacementBetween loses a member, replaces it by a new one, and loses another one immediately
// afterwards.
func TestTwoMemberLossesWithReplacementBetween(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1, 2, 3)
		_ = c.procs[3].kill()
		leader := c.leader(1, 2)
		c.members = append(c.members, member(4))
		c.adjust = func(cfg *Config) { cfg.Join = cfg.ID == 4 }
		c.disks[4] = waltest.New()
		c.start(4)
		for _, err := range []error{
			leader.Remove(t.Context(), 3), leader.AddLearner(t.Context(), member(4)), leader.Promote(t.Context(), 4),
		} {
			if err != nil {
				t.Fatal(err)
			}
		}
		_ = c.procs[leader.cfg.ID].kill()
		rest := slices.DeleteFunc([]uint64{1, 2, 4}, func(id uint64) bool { return id == leader.cfg.ID })
		c.propose("b", rest...)
		for _, id := range rest {
			c.waitForCommands(id, []string{"a", "b"})
		}
	})
}

// TestDiskFaultLosesNoAcceptedCommand makes the n-th modifying call on the leader's disk fail, for n up to 12. The process ends
// with an error and the others continue. After a restart from the synced data no accepted command may be missing.
func TestDiskFaultLosesNoAcceptedCommand(t *testing.T) {
	for n := 1; n <= 12; n++ {
		inBubble(t, 3, func(t *testing.T, c *cluster) {
			c.adjust = func(cfg *Config) { cfg.CompactEntries = 4 }
			c.startAll()
			c.propose("a", 1, 2, 3)
			victim := c.leader(1, 2, 3).cfg.ID
			c.disks[victim].(*waltest.FS).FailAt(n)
			want := []string{"a"}
			for i := range 6 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, err := c.procs[victim].Propose(ctx, []byte(fmt.Sprint(i)))
				cancel()
				if err != nil {
					break
				}
				want = append(want, fmt.Sprint(i))
			}
			c.disks[victim].(*waltest.FS).FailAt(0)
			c.crashAndRestart(victim)
			c.propose("end", 1, 2, 3)
			time.Sleep(5 * time.Second)
			got := c.procs[victim].commands()
			if len(got) <= len(want) || !slices.Equal(got[:len(want)], want) || got[len(got)-1] != "end" {
				t.Errorf("fault %d: member %d applied %v, want %v, optionally the failed command, and \"end\"", n, victim, got, want)
			}
		})
	}
}

// TestLeaderWithHungDiskIsReplaced makes a sync of the leader hang. The others elect a new leader, and the old one
// becomes a follower once the sync returns.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1, 2, 3)
		old := c.leader(1, 2, 3)
		release := c.disks[old.cfg.ID].(*waltest.FS).Hang()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, err := old.Propose(ctx, []byte("b")); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("proposal: got %v, want %v", err, ErrUnknownOutcome)
		}
		c.propose("c", c.others(old.cfg.ID)...)
		if lease, ok := old.Lease(); ok && time.Now().Before(lease.Expires) {
			t.Error("the old leader still has a lease after another one committed a command")
		}
		release()
		time.Sleep(5 * time.Second)
		if old.Status().Role == raft.Leader {
			t.Error("the old leader still leads")
		}
		want := c.leader(c.others(old.cfg.ID)...).commands()
		if !slices.Contains(want, "c") {
			t.Errorf("got commands %v, want the accepted command c among them", want)
		}
		c.waitForCommands(old.cfg.ID, want)
	})
}

func TestFailedSyncIsFatal(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, c *cluster) {
		c.startAll()
		p := c.leader(1)
		c.disks[1].(*waltest.FS).FailAt(2)
		if _, err := p.Propose(t.Context(), []byte("a")); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("proposal: got %v, want %v", err, ErrUnknownOutcome)
		}
		if err := <-p.err; !errors.Is(err, wal.ErrSync) {
			t.Errorf("Run: got %v, want %v", err, wal.ErrSync)
		}
		if _, ok := p.Lease(); ok {
			t.Error("the replica still has a lease after Run has returned")
		}
	})
}

func TestProposalsRejectedBelowMinFreeBytes(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, c *cluster) {
		c.adjust = func(cfg *Config) { cfg.MinFreeBytes = 1000 }
		c.startAll()
		c.propose("a", 1)
		disk := c.disks[1].(*waltest.FS)
		disk.SetFree(999)
		time.Sleep(2 * diskCheckInterval)
		if _, err := c.procs[1].Propose(t.Context(), []byte("b")); !errors.Is(err, ErrDiskFull) {
			t.Errorf("proposal: got %v, want %v", err, ErrDiskFull)
		}
		disk.SetFree(1000)
		time.Sleep(2 * diskCheckInterval)
		c.propose("c", 1)
		c.waitForCommands(1, []string{"a", "c"})
	})
}

// TestLeaderWithFullDiskIsReplaced makes writes to the leader's disk fail while it still reports free space: the member is
// suspended, the others elect a new leader, and the member catches up once there is space.
func TestLeaderWithFullDiskIsReplaced(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1, 2, 3)
		old := c.leader(1, 2, 3)
		disk := c.disks[old.cfg.ID].(*waltest.FS)
		disk.SetFull(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := old.Propose(ctx, []byte("b")); err == nil {
			t.Error("the leader accepted a command while its disk was full")
		}
		c.propose("c", c.others(old.cfg.ID)...)
		disk.SetFull(false)
		c.propose("d", 1, 2, 3)
		// The outcome of b is unknown: the others may have received it before the leader was suspended.
		want := c.leader(1, 2, 3).commands()
		if !slices.Equal(want, []string{"a", "c", "d"}) && !slices.Equal(want, []string{"a", "b", "c", "d"}) {
			t.Errorf("got commands %v, want a, c and d in order, optionally with b after a", want)
		}
		for id := range c.procs {
			c.waitForCommands(id, want)
		}
	})
}

// TestLeaderWithLowDiskSpaceTransfersLeadership reduces the free space on the leader's disk below the minimum, while
// writes still succeed: the leader transfers its leadership and continues as a follower.
func TestLeaderWithLowDiskSpaceTransfersLeadership(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.adjust = func(cfg *Config) { cfg.MinFreeBytes = 1000 }
		c.startAll()
		c.propose("a", 1, 2, 3)
		old := c.leader(1, 2, 3)
		c.disks[old.cfg.ID].(*waltest.FS).SetFree(999)
		time.Sleep(4 * diskCheckInterval)
		c.propose("b", c.others(old.cfg.ID)...)
		c.waitForCommands(old.cfg.ID, []string{"a", "b"})
	})
}

// TestJoinWithoutConfiguredAddresses adds a member that has no addresses configured: it replies to the addresses in the
// messages it receives.
func TestJoinWithoutConfiguredAddresses(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1, 2, 3)
		c.adjust = func(cfg *Config) {
			cfg.Address = member(cfg.ID).Address
			if cfg.ID == 4 {
				cfg.Join, cfg.Members = true, nil
			}
		}
		for id := uint64(1); id <= 3; id++ { // restart with Config.Address set
			_ = c.procs[id].kill()
			c.start(id)
		}
		c.disks[4] = waltest.New()
		c.start(4)
		leader := c.leader(1, 2, 3)
		if err := leader.AddLearner(t.Context(), member(4)); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := leader.Promote(ctx, 4); err != nil {
			t.Fatal(err)
		}
		c.waitForCommands(4, []string{"a"})
	})
}

func TestTransferWaitsForLeaseExpiry(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1, 2, 3)
		old := c.leader(1, 2, 3)
		lease, _ := old.Lease()
		if err := old.TransferLeadership(t.Context()); err != nil {
			t.Fatal(err)
		}
		if time.Now().Before(lease.Expires) {
			t.Error("the leadership was transferred before the lease expired")
		}
		c.propose("b", c.others(old.cfg.ID)...)
		for range 100 { // the new leader's first heartbeat may still be in flight
			if _, ok := old.Leader(); ok {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		var notLeader *NotLeaderError
		if _, err := old.Propose(t.Context(), []byte("c")); !errors.As(err, &notLeader) || notLeader.Address == "" {
			t.Errorf("proposal at the old leader: got %v, want a NotLeaderError with the address of the new one", err)
		}
	})
}

func TestOneProcessPerDataDirectory(t *testing.T) {
	cfg := Config{ID: 1, Members: []Member{member(1)}, DataDir: t.TempDir()}
	first, err := Open(cfg, &list{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(cfg, &list{}); !errors.Is(err, ErrLocked) {
		t.Errorf("second process: got %v, want %v", err, ErrLocked)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := Open(cfg, &list{})
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
	cfg.ID, cfg.Members = 2, []Member{member(2)}
	if _, err := Open(cfg, &list{}); err == nil || !strings.Contains(err.Error(), "member 1") {
		t.Errorf("data directory of another member: got %v, want an error that names the member", err)
	}
}

func TestSubscriptionLeavesNoGap(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1)
		p := c.procs[1]
		var seen []string
		var ch <-chan Applied
		var end func()
		p.View(func() {
			seen = append(seen, p.sm.commands...)
			ch, end = p.Subscribe(2)
		})
		defer end()
		for _, data := range []string{"b", "c", "d"} {
			c.propose(data, 1)
		}
		for a := range ch { // closed because the third command did not fit into the buffer
			seen = append(seen, string(a.Data))
		}
		if want := []string{"a", "b", "c"}; !slices.Equal(seen, want) {
			t.Errorf("got %v, want %v", seen, want)
		}
	})
}

func TestBackupAndRestore(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, c *cluster) {
		c.startAll()
		c.propose("a", 1)
		file := filepath.Join(c.dir, "backup")
		if err := c.procs[1].Backup(t.Context(), file); err != nil {
			t.Fatal(err)
		}
		c.propose("after", 1)
		epoch := c.procs[1].Status().Epoch
		_ = c.procs[1].kill()

		c.disks[1] = wal.OS{}
		cfg := c.config(1)
		if err := Restore(cfg, file, nil); err != nil {
			t.Fatal(err)
		}
		if err := Restore(cfg, file, nil); err == nil {
			t.Error("a backup was restored into a data directory that is not blank")
		}
		c.start(1)
		c.propose("b", 1)
		c.waitForCommands(1, []string{"a", "b"})
		if got := c.procs[1].Status().Epoch; got <= epoch {
			t.Errorf("got epoch %d after the restore, want more than %d", got, epoch)
		}
	})
}
