package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/guavastack/guavastack/internal/localcluster"
)

const (
	clockTicks = 100 // clock ticks per second in /proc/PID/stat on Linux
	mebibyte   = 1 << 20
)

// processUsage is the cumulative CPU time and the current memory of one process.
type processUsage struct {
	role  string
	pid   int
	ticks uint64
	rss   uint64 // bytes
}

// roleUsage is the average resource usage of the processes of one role.
type roleUsage struct {
	Role      string  `json:"role"`
	Processes int     `json:"processes"`
	CoresEach float64 `json:"cores_each"`
	MiBEach   float64 `json:"mib_each"`
}

// measure returns the resource usage of all running processes, by name.
func measure(c *localcluster.Cluster) map[string]processUsage {
	out := make(map[string]processUsage)
	for _, role := range []string{localcluster.RoleControl, localcluster.RoleAgent, localcluster.RoleEntry} {
		for _, name := range c.Names(role) {
			if u, err := readProcessUsage(c.PID(name)); err == nil {
				u.role = role
				out[name] = u
			}
		}
	}
	return out
}

// readProcessUsage reads the CPU time and resident memory of a process.
func readProcessUsage(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseUint(fields[11], 10, 64)
	system, _ := strconv.ParseUint(fields[12], 10, 64)
	pages, _ := strconv.ParseUint(fields[21], 10, 64)
	return processUsage{pid: pid, ticks: user + system, rss: pages * uint64(os.Getpagesize())}, nil
}

// usageByRole returns the average CPU usage between two measurements and the average memory at the second one, by role. It ignores
// processes that were restarted in between.
func usageByRole(before, after map[string]processUsage, elapsed time.Duration) []roleUsage {
	var out []roleUsage
	for _, role := range []string{localcluster.RoleControl, localcluster.RoleAgent, localcluster.RoleEntry} {
		u := roleUsage{Role: role}
		for name, b := range before {
			a, ok := after[name]
			if b.role != role || !ok || a.pid != b.pid {
				continue
			}
			u.Processes++
			u.CoresEach += float64(a.ticks-b.ticks) / clockTicks / elapsed.Seconds()
			u.MiBEach += float64(a.rss) / mebibyte
		}
		if u.Processes > 0 {
			u.CoresEach /= float64(u.Processes)
			u.MiBEach /= float64(u.Processes)
		}
		out = append(out, u)
	}
	return out
}

// settleDelay is the delay between the start of a deployment and its measurement without load.
const settleDelay = 5 * time.Second

// measureIdle prints the resource usage of each role without load, and the traffic on the loopback interface.
func measureIdle(c *localcluster.Cluster, duration time.Duration) error {
	time.Sleep(settleDelay)
	before, bytesBefore := measure(c), loopbackBytes()
	started := time.Now()
	time.Sleep(duration)
	elapsed := time.Since(started)
	after, bytesAfter := measure(c), loopbackBytes()
	printRoles(usageByRole(before, after, elapsed))
	fmt.Printf("loopback: %.0f bytes/s in total\n", float64(bytesAfter-bytesBefore)/elapsed.Seconds())
	return nil
}

// loopbackBytes returns the number of bytes received on the loopback interface since boot, or 0 if it is not available.
func loopbackBytes() uint64 {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			n, _ := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}
