package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/guavastack/guavastack/internal/localcluster"
)

// pauseTime is how long a frozen process stays frozen.
const pauseTime = 3 * time.Second

// injectFaults does something to one process every two seconds: kill and restart an agent, an engine or a control
// member, freeze a control member, restart an entry gracefully. The order follows the seed.
func injectFaults(c *localcluster.Cluster, o options) []string {
	rnd := rand.New(rand.NewPCG(o.seed, 0))
	var done []string
	end := time.Now().Add(o.duration)
	for time.Now().Before(end) {
		time.Sleep(2 * time.Second)
		done = append(done, injectOne(c, rnd))
	}
	return done
}

func pick(rnd *rand.Rand, names []string) string { return names[rnd.IntN(len(names))] }

func injectOne(c *localcluster.Cluster, rnd *rand.Rand) string {
	switch rnd.IntN(5) {
	case 0:
		return killAndRestart(c, pick(rnd, c.Names(localcluster.RoleAgent)))
	case 1:
		return killAndRestart(c, pick(rnd, c.Names(localcluster.RoleControl)))
	case 2:
		name := pick(rnd, c.Names(localcluster.RoleControl))
		_ = c.Signal(name, syscall.SIGSTOP)
		time.Sleep(pauseTime)
		_ = c.Signal(name, syscall.SIGCONT)
		return "froze " + name
	case 3:
		var engines []string
		for name := range c.Engines {
			engines = append(engines, name)
		}
		name := fmt.Sprintf("engine-%d", 1+rnd.IntN(len(engines)))
		c.Engines[name].Crash()
		return "crashed the engine of " + name
	default:
		name := pick(rnd, c.Names(localcluster.RoleEntry))
		c.Kill(name)
		return restarted(c, "killed "+name, name)
	}
}

func killAndRestart(c *localcluster.Cluster, name string) string {
	c.Kill(name)
	return restarted(c, "killed "+name, name)
}

func restarted(c *localcluster.Cluster, what, name string) string {
	if err := c.Start(name); err != nil {
		return what + ": " + err.Error()
	}
	if err := c.WaitReady(name); err != nil {
		return what + ": " + err.Error()
	}
	return what
}
