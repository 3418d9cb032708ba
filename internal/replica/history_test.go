package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/wal/waltest"
)

const (
	historyClients = 4
	historyOps     = 12
	callTimeout    = 3 * time.Second
)

// call is the input of an operation on a register. The value of the register is the last command in the list.
type call struct {
	isWrite bool
	value   string
}

// recorder records the operations of all clients.
type recorder struct {
	mu       sync.Mutex
	ops      []porcupine.Operation
	accepted []string
}

func (r *recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// proc returns the process of a member, which injected faults replace while clients run.
func (c *cluster) proc(id uint64) *process {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.procs[id]
}

// write proposes a value at one member. It is recorded unless it was certainly not committed.
func (r *recorder) write(c *cluster, client int, p *process, value string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Input: call{true, value}, Call: time.Now().UnixNano()}
	_, err := p.Propose(ctx, []byte(value))
	op.Return = time.Now().UnixNano()
	switch {
	case err == nil:
		r.mu.Lock()
		r.accepted = append(r.accepted, value)
		r.mu.Unlock()
	case errors.Is(err, ErrUnknownOutcome):
		op.Return = 1 << 62
	default:
		return
	}
	r.add(op)
}

// read performs a linearizable read of the register at one member.
func (r *recorder) read(client int, p *process) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Input: call{}, Call: time.Now().UnixNano()}
	index, err := p.ReadIndex(ctx)
	if err != nil || p.WaitApplied(ctx, index) != nil {
		return
	}
	value := ""
	p.View(func() {
		if n := len(p.sm.commands); n > 0 {
			value = p.sm.commands[n-1]
		}
	})
	op.Output, op.Return = value, time.Now().UnixNano()
	r.add(op)
}

// client sends requests to random members, or to the leader that they name.
func (r *recorder) client(c *cluster, client int, rng *rand.Rand) {
	for i := range historyOps {
		p := c.proc(1 + rng.Uint64N(3))
		if leader, ok := p.Leader(); ok && rng.IntN(4) != 0 {
			p = c.proc(leader.ID)
		}
		if rng.IntN(2) == 0 {
			r.write(c, client*historyOps+i, p, fmt.Sprintf("%d-%d", client, i))
		} else {
			r.read(client*historyOps+i, p)
		}
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
	}
}

// injectFault injects a random fault and ends it after up to 1.5 s.
func (c *cluster) injectFault(rng *rand.Rand) {
	id := 1 + rng.Uint64N(3)
	address := member(id).Address
	pause := func() { time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond) }
	switch rng.IntN(5) {
	case 0:
		c.crashPauseAndRestart(id, 0, pause)
	case 1:
		c.net.partition(address)
		pause()
		c.net.heal(address)
	case 2:
		c.net.dropDirection(address, member(1+id%3).Address)
	case 3:
		disk := c.disks[id].(*waltest.FS)
		disk.FailAt(1 + rng.IntN(6))
		pause()
		disk.FailAt(0)
		c.crashPauseAndRestart(id, rng.IntN(200), func() {})
	case 4:
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_ = c.proc(id).TransferLeadership(ctx)
		cancel()
	}
	pause()
}

// crashPauseAndRestart crashes a process, calls pause and restarts it. keep bytes of its unsynced data survive.
func (c *cluster) crashPauseAndRestart(id uint64, keep int, pause func()) {
	_ = c.proc(id).kill()
	c.disks[id] = c.disks[id].(*waltest.FS).Crash(keep)
	pause()
	p := c.open(id)
	c.net.mu.Lock()
	c.procs[id] = p
	c.net.mu.Unlock()
	c.run(p)
}

// TestHistoriesUnderFaults runs writing and reading clients while processes crash, disks fail, connections drop data and the
// leadership is transferred. The history must be linearizable, and each accepted write must have been applied exactly once.
func TestHistoriesUnderFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, c *cluster) {
				c.adjust = func(cfg *Config) { cfg.CompactEntries = 20 }
				c.startAll()
				c.leader(1, 2, 3)
				rec := &recorder{}
				var clients sync.WaitGroup
				for i := range historyClients {
					clients.Go(func() { rec.client(c, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
				}
				faults := rand.New(rand.NewPCG(seed, 99))
				for range 12 {
					c.injectFault(faults)
				}
				clients.Wait()
				c.propose("end", 1, 2, 3)
				time.Sleep(5 * time.Second)
				rec.check(t, c)
			})
		})
	}
}

func (r *recorder) check(t *testing.T, c *cluster) {
	count := make(map[string]int)
	for _, value := range c.procs[1].commands() {
		count[value]++
	}
	for _, value := range r.accepted {
		if count[value] != 1 {
			t.Errorf("accepted write %s was applied %d times, want 1", value, count[value])
		}
	}
	if len(r.accepted) < historyClients {
		t.Errorf("got %d accepted writes, want at least one per client", len(r.accepted))
	}
	for id, p := range c.procs {
		if got, want := len(p.commands()), len(c.procs[1].commands()); got != want {
			t.Errorf("member %d applied %d commands, want %d as on member 1", id, got, want)
		}
	}
	if !porcupine.CheckOperations(registerModel, r.ops) {
		t.Errorf("the history of %d operations is not linearizable", len(r.ops))
	}
}

// registerModel models a register whose initial value is empty.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(call); in.isWrite {
			return true, in.value
		}
		return output == state, state
	},
}
