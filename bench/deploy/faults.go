package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/guavastack/guavastack/internal/localcluster"
)

// suspendDuration is how long a suspended process stays suspended.
const suspendDuration = 3 * time.Second

// injectFaults injects random faults one after another, two seconds after the end of the one before: it kills and restarts an
// agent, a control member or an entry, suspends a control member, or crashes an engine. The seed determines the sequence. It
// returns a description of each fault.
func injectFaults(c *localcluster.Cluster, o options) []string {
	rnd := rand.New(rand.NewPCG(o.seed, 0))
	var done []string
	end := time.Now().Add(o.duration)
	for time.Now().Before(end) {
		time.Sleep(2 * time.Second)
		done = append(done, injectFault(c, rnd))
	}
	return done
}

func pickRandom(rnd *rand.Rand, names []string) string { return names[rnd.IntN(len(names))] }

func injectFault(c *localcluster.Cluster, rnd *rand.Rand) string {
	switch rnd.IntN(5) {
	case 0:
		return killAndRestart(c, pickRandom(rnd, c.Names(localcluster.RoleAgent)))
	case 1:
		return killAndRestart(c, pickRandom(rnd, c.Names(localcluster.RoleControl)))
	case 2:
		name := pickRandom(rnd, c.Names(localcluster.RoleControl))
		_ = c.Signal(name, syscall.SIGSTOP)
		time.Sleep(suspendDuration)
		_ = c.Signal(name, syscall.SIGCONT)
		return "suspended " + name
	case 3:
		var engines []string
		for name := range c.Engines {
			engines = append(engines, name)
		}
		name := fmt.Sprintf("engine-%d", 1+rnd.IntN(len(engines)))
		c.Engines[name].Crash()
		return "crashed the engine of " + name
	default:
		name := pickRandom(rnd, c.Names(localcluster.RoleEntry))
		c.Kill(name)
		return restart(c, "killed "+name, name)
	}
}

func killAndRestart(c *localcluster.Cluster, name string) string {
	c.Kill(name)
	return restart(c, "killed "+name, name)
}

// restart starts a killed process again and waits until it is ready. It returns what, the description of the fault, followed by the
// error if there is one.
func restart(c *localcluster.Cluster, what, name string) string {
	if err := c.Start(name); err != nil {
		return what + ": " + err.Error()
	}
	if err := c.WaitReady(name); err != nil {
		return what + ": " + err.Error()
	}
	return what
}
