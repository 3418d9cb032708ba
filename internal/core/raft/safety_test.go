package raft

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260704", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		if err := flag.Set("rapid.checks", "150"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// faultSteps are the actions of a schedule. Repeated ones are drawn more often.
var faultSteps = []string{
	"write", "write", "write", "read", "read", "read", "crash at output", "restart all", "restart all",
	"crash and restart", "crash and restart", "crash and restart", "cut link", "cut link", "isolate", "reconnect", "pause", "loss",
	"slow network", "slow network", "fast network", "frequent crashes", "no crashes", "no crashes", "compact",
	"cut follower and restart others", "cut follower and restart others", "cut leader output", "cut leader output",
	"read after pause", "transfer", "transfer", "add", "promote", "promote", "remove", "replace disk",
}

func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "size")
		w := newSimulation(rapid.Uint64().Draw(t, "network"), size)
		steps := rapid.SliceOfN(rapid.SampledFrom(faultSteps), 30, 120).Draw(t, "steps")
		for _, step := range steps {
			w.step(step, rapid.Uint64Range(0, 1<<20).Draw(t, "choice"))
			w.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			w.checkLogs()
			if len(w.violations) > 0 {
				t.Fatal(w.report())
			}
		}
		w.heal()
		w.checkLogs()
		if len(w.violations) > 0 {
			t.Fatal(w.report())
		}
		if !isLinearizable(w) {
			t.Fatal("the history of the register is not linearizable")
		}
	})
}

// step performs an action on the member that choice selects.
func (w *simulation) step(name string, choice uint64) {
	id := w.ids[choice%uint64(len(w.ids))]
	switch name {
	case "write":
		if l := w.leader(); l != nil && choice%4 != 0 {
			id = l.id
		}
		w.write(id)
	case "read":
		w.read(id)
	case "crash at output":
		w.crashNext = id
	case "restart all":
		for _, id := range w.ids {
			w.restart(id)
		}
	case "crash and restart":
		w.stop(id)
		w.restart(id)
	case "cut link":
		other := w.ids[choice/64%uint64(len(w.ids))]
		w.cut[[2]uint64{id, other}] = true
		w.cut[[2]uint64{other, id}] = choice%3 != 0
	case "isolate":
		w.isolate(id)
	case "slow network":
		w.delay = time.Duration(choice%300+1) * time.Millisecond
	case "fast network":
		w.delay = usualDelay
	case "frequent crashes":
		w.crashRate = int(choice % 60)
	case "no crashes":
		w.crashRate = 0
	case "reconnect":
		w.cut = make(map[[2]uint64]bool)
		w.lossPct = 0
	case "pause":
		w.members[id].pausedUntil = w.at + time.Duration(choice%1500)*time.Millisecond
	case "loss":
		w.lossPct = int(choice % 30)
	case "compact":
		w.compact(id)
	case "replace disk":
		w.replaceDisk(id)
	default:
		w.stepLeader(name, choice)
	}
}

// cutFollowerAndRestartOthers disconnects the leader from one member for about the length of an election or longer, while
// the others restart repeatedly.
func (w *simulation) cutFollowerAndRestartOthers(l *simMember, choice uint64) {
	disconnected := w.ids[choice%uint64(len(w.ids))]
	w.cut[[2]uint64{l.id, disconnected}] = true
	w.cut[[2]uint64{disconnected, l.id}] = true
	for range 10 {
		w.run(time.Duration(choice%150+20) * time.Millisecond)
		for _, id := range w.ids {
			if id != l.id && id != disconnected && choice%3 != 0 {
				w.stop(id)
				w.restart(id)
			}
		}
	}
}

// cutLeaderOutput drops all messages from the leader, while delayed replies still reach it.
func (w *simulation) cutLeaderOutput(l *simMember, choice uint64) {
	old := w.delay
	w.delay = time.Duration(choice%800+1) * time.Millisecond
	w.run(500 * time.Millisecond)
	for _, id := range w.ids {
		w.cut[[2]uint64{l.id, id}] = true
	}
	w.run(100 * time.Millisecond)
	w.delay = old
	w.run(1500 * time.Millisecond)
}

// readAfterPause pauses the leader for long enough that another one is elected. The first request that it handles
// afterwards is a read.
func (w *simulation) readAfterPause(l *simMember) {
	l.pausedUntil = w.at + 2*time.Second
	w.run(2*time.Second - time.Millisecond)
	for _, id := range w.ids {
		if id != l.id {
			w.write(id)
		}
	}
	w.run(900 * time.Microsecond)
	l.pausedUntil = w.at
	w.read(l.id)
}

func (w *simulation) isolate(id uint64) {
	for _, other := range w.ids {
		w.cut[[2]uint64{id, other}] = true
		w.cut[[2]uint64{other, id}] = true
	}
}

// stepLeader performs an action that involves the current leader.
func (w *simulation) stepLeader(name string, choice uint64) {
	l := w.leader()
	if l == nil || l.pausedUntil > w.at {
		return
	}
	members := l.node.conf().Members
	target := members[choice%uint64(len(members))]
	switch name {
	case "cut follower and restart others":
		w.cutFollowerAndRestartOthers(l, choice)
		return
	case "cut leader output":
		w.cutLeaderOutput(l, choice)
		return
	case "read after pause":
		w.readAfterPause(l)
		return
	case "transfer":
		_ = l.node.Transfer(l.now(w.at), 0)
	case "add":
		w.addMember(l, choice%6+1)
	case "promote":
		for _, m := range members {
			_, _ = l.node.Promote(l.now(w.at), m.ID)
		}
	case "remove":
		for _, m := range members {
			if !m.Learner && w.isDiskLost(m) {
				target = m
			}
		}
		if rest := l.node.conf().without(target.ID); len(rest.Voters()) >= 2 && w.hasIntactQuorum(rest) {
			_, _ = l.node.Remove(target.ID)
		}
	}
	w.handle(l)
}

// addMember adds a learner with a blank disk.
func (w *simulation) addMember(l *simMember, id uint64) {
	for _, known := range w.ids {
		if m := w.members[known]; m.node != nil {
			if _, ok := m.node.conf().Member(id); ok {
				return
			}
		}
	}
	if _, err := l.node.AddLearner(Member{ID: id}); err == nil {
		w.addBlank(id)
		w.start(id, 0)
	}
}

// isDiskLost reports whether the disk with the member's incarnation is lost.
func (w *simulation) isDiskLost(m Member) bool {
	return m.Incarnation != 0 && w.members[m.ID].disk.incarnation != m.Incarnation
}

func (w *simulation) hasIntactQuorum(c Configuration) bool {
	intact := 0
	for _, m := range c.Members {
		if !m.Learner && !w.isDiskLost(m) {
			intact++
		}
	}
	return intact >= c.Quorum()
}

// replaceDisk replaces the disk of a voter with a blank one under the same ID, unless that would destroy a quorum of a
// configuration on any member's disk.
func (w *simulation) replaceDisk(id uint64) {
	if len(w.committed) == 0 {
		return
	}
	old := w.members[id].disk.incarnation
	w.members[id].disk.incarnation = 0
	allowed := true
	for _, c := range w.configurations() {
		m, ok := c.Member(id)
		allowed = allowed && (!ok || !m.Learner) && w.hasIntactQuorum(c)
	}
	w.members[id].disk.incarnation = old
	if allowed {
		w.addBlank(id)
		w.start(id, uint64(len(w.ids)))
	}
}

// configurations returns the configurations in the snapshots and logs on all disks.
func (w *simulation) configurations() []Configuration {
	var all []Configuration
	for _, id := range w.ids {
		d := w.members[id].disk
		if d.snap != nil {
			all = append(all, d.snap.Configuration)
		}
		for _, e := range d.entries {
			if c, err := decodeConfiguration(e.Data); err == nil && e.Kind == EntryConfiguration {
				all = append(all, c)
			}
		}
	}
	return all
}

// heal ends all faults and checks that the group elects a leader, commits a write and replicates it to every member.
func (w *simulation) heal() {
	w.cut, w.lossPct, w.crashNext, w.crashRate, w.delay = make(map[[2]uint64]bool), 0, 0, 0, usualDelay
	for _, id := range w.ids {
		w.members[id].pausedUntil = 0
		w.restart(id)
	}
	w.run(15 * time.Second)
	l := w.leader()
	if l == nil {
		w.fail("liveness: no leader after all faults ended")
		return
	}
	w.write(l.id)
	w.run(10 * time.Second)
	l = w.leader()
	if l == nil || !w.history[len(w.history)-1].isDone {
		w.fail("liveness: no write was committed after all faults ended")
		return
	}
	for _, m := range l.node.conf().Members {
		if got := w.members[m.ID]; !w.isDiskLost(m) && got.node != nil && got.applied != l.applied {
			w.fail("liveness: member %d applied entries up to %d, want %d as on the leader", m.ID, got.applied, l.applied)
		}
	}
}

// isLinearizable checks the history of the register. A write without a reply may take effect at any later time.
func isLinearizable(w *simulation) bool {
	type input struct {
		isWrite bool
		value   string
	}
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			if op := in.(input); op.isWrite {
				return true, op.value
			}
			return out == state, state
		},
	}
	var ops []porcupine.Operation
	for i, op := range w.history {
		finish := op.finish
		switch {
		case !op.isDone && !op.isWrite:
			continue
		case !op.isDone:
			finish = w.at + time.Hour
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: input{op.isWrite, op.value}, Output: op.value,
			Call: int64(op.call), Return: int64(finish),
		})
	}
	return porcupine.CheckOperations(model, ops)
}
