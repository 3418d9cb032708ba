package raft

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Settings of the simulated group. Two clocks diverge by almost simDrift during a lease.
const (
	simHeartbeat = 100 * time.Millisecond
	simElection  = 600 * time.Millisecond
	simLease     = 500 * time.Millisecond
	simDrift     = 20 * time.Millisecond
	usualDelay   = 3 * time.Millisecond
	simRatePPM   = 19_000 // two clocks with opposite rates diverge by less than simDrift during a lease
)

// simDisk is the state that survives a crash.
type simDisk struct {
	incarnation uint64
	hardState   HardState
	snap        *Snapshot
	entries     []Entry
	used        bool
}

// sync makes an output durable.
func (d *simDisk) sync(out Output) {
	if out.HardState != nil {
		d.hardState = *out.HardState
	}
	if out.Snapshot != nil {
		d.snap, d.entries = out.Snapshot, nil
	}
	for _, e := range out.Entries {
		var base uint64
		if d.snap != nil {
			base = d.snap.Index
		}
		d.entries = append(d.entries[:e.Index-base-1:e.Index-base-1], e)
	}
}

// simMember is a simulated process with its disk and clock.
type simMember struct {
	id          uint64
	node        *Node // nil: crashed
	disk        *simDisk
	ratePPM     int64
	pausedUntil time.Duration
	value       string // replicated register
	applied     uint64
	leaseEnd    time.Duration // expiry of the last observed lease, in true time
	leaseTerm   uint64
	reads       map[uint64]int    // pending reads: read ID to index in history
	answers     map[uint64]uint64 // answered reads that wait for the state machine: read ID to read index
}

func (m *simMember) now(at time.Duration) time.Time {
	local := time.Duration(float64(at) * (1 + float64(m.ratePPM)/1e6))
	return time.Unix(int64(1000*m.id), 0).Add(local)
}

// trueTime is the inverse of now, rounded up.
func (m *simMember) trueTime(t time.Time) time.Duration {
	local := t.Sub(time.Unix(int64(1000*m.id), 0))
	return time.Duration(float64(local)/(1+float64(m.ratePPM)/1e6)) + 2*time.Microsecond
}

// packet is a message in flight.
type packet struct {
	at  time.Duration
	seq int
	m   Message
}

// simulation simulates a group with its network, and records the events that the checks need.
type simulation struct {
	rng             *rand.Rand
	at              time.Duration
	members         map[uint64]*simMember
	ids             []uint64
	packets         []packet
	seq             int
	cut             map[[2]uint64]bool
	lossPct         int
	delay           time.Duration            // maximum delay of a message, apart from occasional late ones
	hasBoundedDelay bool                     // no message is delayed for longer than delay
	crashNext       uint64                   // member that crashes at its next output
	crashRate       int                      // crashes per thousand outputs, each followed by a restart within 20 ms
	restartAt       map[uint64]time.Duration // when crashed members restart

	leaders    map[uint64]string // leader's id and incarnation by term
	committed  map[uint64]Entry  // entries applied by any member, by index
	history    []operation
	writes     map[string]int // index in history by value
	violations []string       // violated properties
}

// operation is a client's read or write of the register.
type operation struct {
	isWrite      bool
	value        string
	call, finish time.Duration
	isDone       bool
}

func newSimulation(seed uint64, size int) *simulation {
	w := &simulation{
		delay: usualDelay, restartAt: make(map[uint64]time.Duration),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		members: make(map[uint64]*simMember), cut: make(map[[2]uint64]bool),
		leaders: make(map[uint64]string), committed: make(map[uint64]Entry), writes: make(map[string]int),
	}
	for id := uint64(1); id <= uint64(size); id++ {
		w.addBlank(id)
	}
	for _, id := range w.ids {
		w.start(id, uint64(size))
	}
	return w
}

func (w *simulation) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.at)+fmt.Sprintf(format, args...))
}

// addBlank gives a member a new disk.
func (w *simulation) addBlank(id uint64) {
	m := w.members[id]
	if m == nil {
		m = &simMember{id: id, ratePPM: w.rng.Int64N(2*simRatePPM) - simRatePPM}
		w.members[id] = m
		w.ids = append(w.ids, id)
		sort.Slice(w.ids, func(i, j int) bool { return w.ids[i] < w.ids[j] })
	}
	m.node = nil
	m.disk = &simDisk{incarnation: w.rng.Uint64()%1e6 + 1}
}

// start starts a member from its disk. initialMembers is the number of initial members of a new group, 0 for a member
// that joins one.
func (w *simulation) start(id, initialMembers uint64) {
	m := w.members[id]
	cfg := Config{
		Group: 1, ID: id, Incarnation: m.disk.incarnation, Epoch: 5, Rand: w.rng.Uint64,
		HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, LeaseDuration: simLease, MaxClockDrift: simDrift,
	}
	for memberID := uint64(1); memberID <= initialMembers; memberID++ {
		cfg.InitialMembers = append(cfg.InitialMembers, Member{ID: memberID})
	}
	state := State{
		HardState: m.disk.hardState, Snapshot: m.disk.snap, Restarted: m.disk.used,
		Entries: append([]Entry(nil), m.disk.entries...),
	}
	node, err := New(cfg, state, m.now(w.at))
	if err != nil {
		w.fail("start member %d: %v", id, err)
		return
	}
	m.disk.used = true
	m.node, m.pausedUntil = node, 0
	m.value, m.applied = "", 0
	m.reads, m.answers = make(map[uint64]int), make(map[uint64]uint64)
	if m.disk.snap != nil {
		m.value, m.applied = string(m.disk.snap.Data), m.disk.snap.Index
	}
}

// restart starts a member that is down.
func (w *simulation) restart(id uint64) {
	delete(w.restartAt, id)
	if w.members[id].node == nil {
		w.start(id, w.initialMemberCount())
	}
}

// initialMemberCount returns the number of initial members until an entry is committed, then 0.
func (w *simulation) initialMemberCount() uint64 {
	if len(w.committed) > 0 {
		return 0
	}
	return uint64(len(w.ids))
}

func (w *simulation) stop(id uint64) { w.members[id].node = nil }

// run advances the simulation by d of true time.
func (w *simulation) run(d time.Duration) {
	end := w.at + d
	for len(w.violations) == 0 {
		at, fire := w.next()
		if at > end {
			break
		}
		w.at = max(w.at, at)
		fire()
	}
	w.at = max(w.at, end)
}

// next returns the time and action of the next event.
func (w *simulation) next() (time.Duration, func()) {
	at, fire := time.Duration(1<<62), func() {}
	for _, id := range w.ids {
		m := w.members[id]
		if restartTime, ok := w.restartAt[id]; ok && restartTime < at {
			at, fire = restartTime, func() { w.restart(id) }
		}
		if m.node == nil {
			continue
		}
		due := max(m.trueTime(m.node.Deadline()), m.pausedUntil)
		if due < at {
			at, fire = due, func() { m.node.Tick(m.now(w.at)); w.handle(m) }
		}
	}
	for i := range w.packets {
		if p := w.packets[i]; p.at < at {
			at, fire = p.at, func() { w.deliver(i) }
		}
	}
	return at, fire
}

func (w *simulation) deliver(i int) {
	p := w.packets[i]
	m := w.members[p.m.To]
	if m != nil && m.node != nil && m.pausedUntil > w.at {
		w.packets[i].at = m.pausedUntil
		return
	}
	w.packets[i] = w.packets[len(w.packets)-1]
	w.packets = w.packets[:len(w.packets)-1]
	if m == nil || m.node == nil || w.cut[[2]uint64{p.m.From, p.m.To}] {
		return
	}
	if err := m.node.Step(m.now(w.at), p.m); err != nil {
		w.fail("member %d: %v", m.id, err)
	}
	w.handle(m)
}

// send puts messages on the network, which may lose, delay, reorder and duplicate them.
func (w *simulation) send(m *simMember, messages []Message) {
	for _, msg := range messages {
		if msg.Kind == InstallSnapshot {
			msg.Snapshot = m.disk.snap
		}
		copies := 1
		switch r := w.rng.IntN(100); {
		case r < w.lossPct:
			copies = 0
		case r > 97:
			copies = 2
		}
		for range copies {
			delay := 200*time.Microsecond + time.Duration(w.rng.Int64N(int64(w.delay)))
			if !w.hasBoundedDelay && w.rng.IntN(40) == 0 {
				delay = time.Duration(w.rng.IntN(1500)) * time.Millisecond
			}
			w.seq++
			w.packets = append(w.packets, packet{at: w.at + delay, seq: w.seq, m: msg})
		}
	}
}

// handle processes the outputs of a member. A crash can happen at each stage: before the sync, after it, or after
// SendSynced is sent.
func (w *simulation) handle(m *simMember) {
	for {
		out := m.node.Output(m.now(w.at))
		if len(out.Send)+len(out.SendSynced)+len(out.Entries)+len(out.Apply)+len(out.Reads) == 0 &&
			out.HardState == nil && out.Snapshot == nil {
			break
		}
		stage := 3
		if w.crashNext == m.id {
			w.crashNext, stage = 0, w.rng.IntN(3)
		}
		if w.rng.IntN(1000) < w.crashRate {
			stage = w.rng.IntN(3)
			w.restartAt[m.id] = w.at + time.Duration(w.rng.Int64N(int64(20*time.Millisecond)))
		}
		w.send(m, out.Send)
		if stage > 0 {
			m.disk.sync(out)
		}
		if stage > 1 {
			w.send(m, out.SendSynced)
		}
		if stage < 3 {
			w.stop(m.id)
			return
		}
		m.node.Synced()
		w.apply(m, out)
	}
	w.check(m)
}

func (w *simulation) apply(m *simMember, out Output) {
	if out.Snapshot != nil {
		m.value, m.applied = string(out.Snapshot.Data), out.Snapshot.Index
	}
	for _, e := range out.Apply {
		if e.Index != m.applied+1 {
			w.fail("member %d applied entry %d after entry %d", m.id, e.Index, m.applied)
		}
		m.applied = e.Index
		if known, ok := w.committed[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
			w.fail("state machine safety: entry %d was applied as term %d %q and as term %d %q", e.Index, known.Term, known.Data, e.Term, e.Data)
		}
		w.committed[e.Index] = e
		if e.Kind == EntryCommand {
			m.value = string(e.Data)
			w.finishWrite(m.value)
		}
	}
	for _, r := range out.Reads {
		if _, ok := m.reads[r.ID]; ok {
			m.answers[r.ID] = r.Index
		}
	}
	w.finishReads(m)
}

func (w *simulation) finishWrite(value string) {
	op := &w.history[w.writes[value]]
	if !op.isDone {
		op.isDone, op.finish = true, w.at
	}
}

func (w *simulation) finishReads(m *simMember) {
	for id, index := range m.answers {
		if m.applied >= index {
			op := &w.history[m.reads[id]]
			op.isDone, op.finish, op.value = true, w.at, m.value
			delete(m.answers, id)
			delete(m.reads, id)
		}
	}
}

// write proposes a new value at member id.
func (w *simulation) write(id uint64) {
	m := w.members[id]
	if m.node == nil || m.pausedUntil > w.at {
		return
	}
	value := fmt.Sprintf("v%d", len(w.history))
	if _, err := m.node.Propose([]byte(value)); err != nil {
		return
	}
	w.writes[value] = len(w.history)
	w.history = append(w.history, operation{isWrite: true, value: value, call: w.at})
	w.handle(m)
}

// read starts a linearizable read at member id.
func (w *simulation) read(id uint64) {
	m := w.members[id]
	if m.node == nil || m.pausedUntil > w.at {
		return
	}
	readID := w.rng.Uint64()
	if !m.node.Read(readID) {
		return
	}
	m.reads[readID] = len(w.history)
	w.history = append(w.history, operation{call: w.at})
	w.handle(m)
}

// compact takes a snapshot at a member and compacts its log.
func (w *simulation) compact(id uint64) {
	m := w.members[id]
	if m.node == nil || m.applied == 0 || m.disk.snap != nil && m.disk.snap.Index == m.applied {
		return
	}
	snap, tail, err := m.node.SnapshotAt(m.applied)
	if err != nil {
		w.fail("snapshot at member %d: %v", id, err)
		return
	}
	snap.Data = []byte(m.value)
	m.disk.snap, m.disk.entries = &snap, append([]Entry(nil), tail...)
	m.node.Compact(snap.Index - min(snap.Index, w.rng.Uint64N(4)))
}

// leader returns the leader of the highest term, or nil if there is none.
func (w *simulation) leader() *simMember {
	var best *simMember
	for _, id := range w.ids {
		m := w.members[id]
		if m.node != nil && m.node.role == Leader && (best == nil || m.node.term > best.node.term) {
			best = m
		}
	}
	return best
}

// check verifies lease exclusivity, election safety and leader completeness after an action of m.
func (w *simulation) check(m *simMember) {
	w.checkLease(m)
	if m.node.role != Leader {
		return
	}
	name := fmt.Sprintf("%d/%d", m.id, m.disk.incarnation)
	switch known, ok := w.leaders[m.node.term]; {
	case !ok:
		w.leaders[m.node.term] = name
		w.checkCompleteness(m)
	case known != name:
		w.fail("election safety: %s and %s lead term %d", known, name, m.node.term)
	}
}

func (w *simulation) checkCompleteness(m *simMember) {
	for index, e := range w.committed {
		if index > m.node.log.baseIndex && !m.node.log.matches(index, e.Term) {
			w.fail("leader completeness: leader %d of term %d lacks entry %d of term %d", m.id, m.node.term, index, e.Term)
		}
	}
}

// checkLease fails if m holds a lease while the last observed lease of another member has not expired.
func (w *simulation) checkLease(m *simMember) {
	lease, ok := m.node.Lease()
	if !ok || !m.now(w.at).Before(lease.Expires) {
		return
	}
	for _, id := range w.ids {
		if o := w.members[id]; id != m.id && o.leaseEnd > w.at {
			w.fail("lease: member %d holds one in term %d while that of member %d in term %d expires in %v only",
				m.id, lease.Term, id, o.leaseTerm, o.leaseEnd-w.at)
		}
	}
	m.leaseEnd, m.leaseTerm = m.trueTime(lease.Expires)-3*time.Microsecond, lease.Term
}

// checkLogs checks log matching for each pair of members.
func (w *simulation) checkLogs() {
	for _, a := range w.ids {
		for _, b := range w.ids {
			if a < b && w.members[a].node != nil && w.members[b].node != nil {
				w.checkPair(w.members[a].node.log, w.members[b].node.log, a, b)
			}
		}
	}
}

func (w *simulation) checkPair(a, b *memoryLog, idA, idB uint64) {
	agreed := false
	for i := min(a.last(), b.last()); i > max(a.baseIndex, b.baseIndex); i-- {
		ta, _ := a.term(i)
		tb, _ := b.term(i)
		if ta == tb {
			agreed = true
		} else if agreed {
			w.fail("log matching: the logs of members %d and %d differ at entry %d and match at a later one", idA, idB, i)
			return
		}
	}
}

func (w *simulation) report() string { return strings.Join(w.violations, "\n") }
