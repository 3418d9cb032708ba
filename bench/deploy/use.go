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
	clockTicks = 100 // a second, of /proc/PID/stat on Linux
	mebibyte   = 1 << 20
)

// processUse is what one process has used so far.
type processUse struct {
	role  string
	pid   int
	ticks uint64
	rss   uint64 // bytes
}

// roleUse is what the processes of one role used, on average.
type roleUse struct {
	Role      string  `json:"role"`
	Processes int     `json:"processes"`
	CoresEach float64 `json:"cores_each"`
	MiBEach   float64 `json:"mib_each"`
}

func measure(c *localcluster.Cluster) map[string]processUse {
	out := make(map[string]processUse)
	for _, role := range []string{localcluster.RoleControl, localcluster.RoleAgent, localcluster.RoleEntry} {
		for _, name := range c.Names(role) {
			if u, err := read(c.PID(name)); err == nil {
				u.role = role
				out[name] = u
			}
		}
	}
	return out
}

// read reads the processor time and resident memory of a process.
func read(pid int) (processUse, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUse{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseUint(fields[11], 10, 64)
	system, _ := strconv.ParseUint(fields[12], 10, 64)
	pages, _ := strconv.ParseUint(fields[21], 10, 64)
	return processUse{pid: pid, ticks: user + system, rss: pages * uint64(os.Getpagesize())}, nil
}

// use compares two measurements of processes that lived through both.
func use(before, after map[string]processUse, took time.Duration) []roleUse {
	var out []roleUse
	for _, role := range []string{localcluster.RoleControl, localcluster.RoleAgent, localcluster.RoleEntry} {
		u := roleUse{Role: role}
		for name, b := range before {
			a, ok := after[name]
			if b.role != role || !ok || a.pid != b.pid {
				continue
			}
			u.Processes++
			u.CoresEach += float64(a.ticks-b.ticks) / clockTicks / took.Seconds()
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

// settleTime is how long a deployment settles before it is measured at rest.
const settleTime = 5 * time.Second

// rest measures what processes use without load, and what goes over the loopback interface meanwhile.
func rest(c *localcluster.Cluster, duration time.Duration) error {
	time.Sleep(settleTime)
	before, bytesBefore := measure(c), loopbackBytes()
	started := time.Now()
	time.Sleep(duration)
	took := time.Since(started)
	after, bytesAfter := measure(c), loopbackBytes()
	printRoles(use(before, after, took))
	fmt.Printf("loopback: %.0f bytes/s in all\n", float64(bytesAfter-bytesBefore)/took.Seconds())
	return nil
}

// loopbackBytes returns the bytes that the loopback interface has received.
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
