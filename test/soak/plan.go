package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
)

// SeedList says which machines the settings of a process name as seeds.
type SeedList string

// Leader says how old the leader is when a successor arrives.
type Leader string

// Kind is how a control member is lost.
type Kind string

const (
	// SeedsListed names the first machines of the operator's list at each start.
	SeedsListed SeedList = "listed"
	// SeedsFirst names the first three machines for ever. One of them is never replaced at another address.
	SeedsFirst SeedList = "first"

	// LeaderAny doesn't wait for a leader of any age.
	LeaderAny Leader = "any"
	// LeaderAged has a leader that is older than leaderAge when a successor arrives.
	LeaderAged Leader = "aged"

	// Replaced: killed, and an empty machine is started at another address.
	Replaced Kind = "replaced"
	// Planned: an empty machine is started at another address, then the member gets SIGTERM, and SIGKILL after the grace.
	Planned Kind = "planned"
	// Emptied: killed, and started again at its address with an empty disk.
	Emptied Kind = "emptied"
	// Restarted: killed, and started again with its disk.
	Restarted Kind = "restarted"
)

const (
	minMembers, maxMembers = 2, 7
	maxTolerance           = 2
	seedCount              = 3 // machines that the settings name
)

// Plan is the schedule of one run. It follows from the seed alone.
type Plan struct {
	Seed      uint64        `json:"seed"`
	Members   int           `json:"members"`   // control members with a disk at the start, numbered from 1
	Tolerance int           `json:"tolerance"` // members that may be lost at the same time
	Instances int           `json:"instances"` // each with a gateway and a relay
	SeedList  SeedList      `json:"seed_list"`
	Kept      int           `json:"kept"` // with SeedsFirst: the seed that keeps its address
	Leader    Leader        `json:"leader"`
	Calm      time.Duration `json:"calm"` // before the first round
	Rounds    []Round       `json:"rounds"`
	Final     Final         `json:"final"`
}

// Round is a loss of one member, or of as many as the tolerance allows. A configuration is acknowledged after it.
type Round struct {
	Losses []Loss        `json:"losses"`
	Pause  *Pause        `json:"pause,omitempty"`
	Calm   time.Duration `json:"calm"` // after the last event of the round, at least the time to catch up
}

// Loss is the loss of one member.
type Loss struct {
	Kind      Kind `json:"kind"`
	Member    int  `json:"member"`
	Successor int  `json:"successor"` // number of the machine that is started; Member unless it is another one
	// Delay is the time from the kill to the start; with Planned, from the start of the successor to SIGTERM.
	Delay time.Duration `json:"delay"`
}

// Pause suspends a member that isn't lost in the round.
type Pause struct {
	Member int           `json:"member"`
	After  time.Duration `json:"after"` // since the round began
	Length time.Duration `json:"length"`
}

// Final is the fault at the end: all processes are killed, some disks are lost, and all start again.
type Final struct {
	Emptied []int           `json:"emptied"`
	Delays  []time.Duration `json:"delays"` // from the kill to the start: of the members, then of the instances
}

// Overrides replace what the seed would choose. A zero field leaves the choice to the seed.
type Overrides struct {
	Members, Tolerance, Rounds int
	SeedList                   SeedList
	Leader                     Leader
}

func (o Overrides) check() error {
	switch {
	case o.Members != 0 && (o.Members < minMembers || o.Members > maxMembers):
		return errors.NotValidf("members %d", o.Members)
	case o.Tolerance < 0 || o.Tolerance > maxTolerance || o.Tolerance > 0 && o.Members > 0 && o.Members <= 2*o.Tolerance:
		return errors.NotValidf("tolerance %d", o.Tolerance)
	case !slices.Contains([]SeedList{"", SeedsListed, SeedsFirst}, o.SeedList):
		return errors.NotValidf("seed list %q", o.SeedList)
	case !slices.Contains([]Leader{"", LeaderAny, LeaderAged}, o.Leader):
		return errors.NotValidf("leader %q", o.Leader)
	}
	return nil
}

// String returns a short description of the plan's size and case.
func (p Plan) String() string {
	return fmt.Sprintf("members %d, tolerance %d, seeds %s, leader %s, rounds %d, final disks %d",
		p.Members, p.Tolerance, p.SeedList, p.Leader, len(p.Rounds), len(p.Final.Emptied))
}

// catchUp returns how long a machine counts as lost after its start.
func (p Plan) catchUp() time.Duration {
	if p.Tolerance == maxTolerance {
		return 6 * time.Second
	}
	return 4 * time.Second
}

// planner draws a plan.
type planner struct {
	rng   *rand.Rand
	plan  Plan
	alive []int // members that run, in the order of their start
	last  int   // number of the newest machine
}

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64, o Overrides) Plan {
	const stream = 39
	p := &planner{rng: rand.New(rand.NewPCG(seed, stream))}
	p.plan.Seed = seed
	p.chooseSize(o)
	for i := range p.plan.Members {
		p.alive = append(p.alive, i+1)
	}
	p.last = p.plan.Members
	rounds := p.chooseCase(o)
	for range rounds {
		p.plan.Rounds = append(p.plan.Rounds, p.round())
	}
	p.plan.Final = p.final()
	return p.plan
}

// between returns a duration of whole milliseconds between two others.
func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Int64N(int64((high-low)/time.Millisecond)+1))*time.Millisecond
}

func (p *planner) chance(probability float64) bool { return p.rng.Float64() < probability }

// chooseSize draws the numbers of members and instances, and the tolerance.
func (p *planner) chooseSize(o Overrides) {
	sizes := []int{3, 3, 3, 3, 3, 3, 2, 4, 5, 5, 6, 7}
	members := sizes[p.rng.IntN(len(sizes))]
	wantsTwo := p.chance(0.6)
	if o.Members > 0 {
		members = o.Members
	} else if o.Tolerance == maxTolerance {
		members = max(members, 2*maxTolerance+1)
	} else if o.Tolerance > 0 {
		members = max(members, 2*o.Tolerance+1)
	}
	p.plan.Members = members
	p.plan.Tolerance = min((members-1)/2, 1)
	if members > 2*maxTolerance && wantsTwo {
		p.plan.Tolerance = maxTolerance
	}
	if o.Tolerance > 0 {
		p.plan.Tolerance = o.Tolerance
	}
	p.plan.Instances = 4
	if members > 3 {
		p.plan.Instances = 3
	}
}

// chooseCase draws the case of the settings and of the leader, and returns the number of rounds.
func (p *planner) chooseCase(o Overrides) (rounds int) {
	p.plan.SeedList, p.plan.Leader = SeedsListed, LeaderAny
	if p.chance(0.4) {
		p.plan.SeedList = SeedsFirst
	}
	if p.chance(0.3) {
		p.plan.Leader = LeaderAged
	}
	if o.SeedList != "" {
		p.plan.SeedList = o.SeedList
	}
	if o.Leader != "" {
		p.plan.Leader = o.Leader
	}
	rounds = 3 + p.rng.IntN(3)
	p.plan.Calm = p.between(200*time.Millisecond, time.Second)
	if p.plan.Leader == LeaderAged {
		rounds = 3
		p.plan.Calm += leaderAge
	}
	if p.plan.Tolerance == maxTolerance {
		p.plan.Calm += p.plan.catchUp() // until the group has grown from the seeds to the members that two losses take
	}
	if o.Rounds > 0 {
		rounds = o.Rounds
	}
	kept := 1 + p.rng.IntN(min(p.plan.Members, seedCount))
	if p.plan.SeedList == SeedsFirst {
		p.plan.Kept = kept
	}
	return rounds
}

// round draws the next round.
func (p *planner) round() Round {
	count := 1
	if p.plan.Tolerance == maxTolerance && p.chance(0.4) {
		count = maxTolerance
	}
	victims := slices.Clone(p.alive)
	p.rng.Shuffle(len(victims), func(i, j int) { victims[i], victims[j] = victims[j], victims[i] })
	var r Round
	for _, victim := range victims[:count] {
		r.Losses = append(r.Losses, p.loss(victim))
	}
	pause := &Pause{
		Member: victims[count], After: p.between(0, 1500*time.Millisecond),
		Length: p.between(500*time.Millisecond, 3500*time.Millisecond),
	}
	if p.chance(0.4) && p.plan.Leader == LeaderAny {
		r.Pause = pause
	}
	r.Calm = p.plan.catchUp() + p.between(100*time.Millisecond, 900*time.Millisecond)
	if p.plan.Leader == LeaderAged {
		r.Calm = max(r.Calm, leaderAge)
	}
	return r
}

// loss draws the loss of a member, and counts its successor as running.
func (p *planner) loss(member int) Loss {
	kinds, stay := []Kind{Replaced, Planned, Emptied}, Emptied
	if p.plan.Tolerance == 0 {
		kinds, stay = []Kind{Restarted, Planned}, Restarted
	}
	l := Loss{Kind: kinds[p.rng.IntN(len(kinds))], Member: member, Successor: member}
	if member == p.plan.Kept {
		l.Kind = stay
	}
	l.Delay = p.between(500*time.Millisecond, 2*time.Second)
	if p.plan.Leader == LeaderAged {
		l.Delay += leaderAge
	}
	if l.Kind == Planned {
		l.Delay = p.plan.catchUp() + p.between(100*time.Millisecond, 600*time.Millisecond)
	}
	if l.Kind == Replaced || l.Kind == Planned {
		p.last++
		l.Successor = p.last
		p.alive[slices.Index(p.alive, member)] = l.Successor
	}
	return l
}

// final draws the final fault.
func (p *planner) final() Final {
	var f Final
	victims := slices.Clone(p.alive)
	p.rng.Shuffle(len(victims), func(i, j int) { victims[i], victims[j] = victims[j], victims[i] })
	if p.chance(0.8) {
		f.Emptied = victims[:p.plan.Tolerance]
	}
	slices.Sort(f.Emptied)
	for range len(p.alive) + p.plan.Instances {
		f.Delays = append(f.Delays, p.between(time.Second, 2*time.Second))
	}
	return f
}
