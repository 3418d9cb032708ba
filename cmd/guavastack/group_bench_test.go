package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/core/settings"
)

const (
	groupMembers = 3
	groupEntries = 2
	groupToken   = "bench-token"
	groupWriters = 16
)

// jsonObject is a JSON object of a settings file.
type jsonObject map[string]any

// controlGroup is a control group and its entries, run as separate processes on loopback addresses.
type controlGroup struct {
	b       *testing.B
	dir     string
	admins  []string
	configs map[string]jsonObject // settings by process
	running map[string]*exec.Cmd
}

// freeAddress returns a loopback address whose port is currently free.
func freeAddress(b *testing.B) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func startGroup(b *testing.B) *controlGroup {
	g := &controlGroup{b: b, dir: b.TempDir(), configs: make(map[string]jsonObject), running: make(map[string]*exec.Cmd)}
	var peers []jsonObject
	var addresses []string
	for i := range groupMembers {
		addresses = append(addresses, freeAddress(b))
		g.admins = append(g.admins, freeAddress(b))
		peers = append(peers, jsonObject{"id": i + 1, "address": addresses[i]})
	}
	hash := sha256.Sum256([]byte(groupToken))
	tokens := []jsonObject{{"name": "bench", "role": "administer", "sha256": hex.EncodeToString(hash[:])}}
	for i := range groupMembers {
		g.configs[memberName(i)] = jsonObject{"id": memberName(i), "zone": "a", "control": jsonObject{
			"member": i + 1, "group": 1, "listen": addresses[i], "data": filepath.Join(g.dir, memberName(i)), "peers": peers,
			"admin": jsonObject{"listen": g.admins[i], "tokens": tokens},
		}}
	}
	for i := range groupEntries {
		name := fmt.Sprint("entry-", i+1)
		g.configs[name] = jsonObject{"id": name, "zone": "a", "control_members": addresses, "entry": jsonObject{"listen": freeAddress(b)}}
	}
	b.Cleanup(func() {
		for name := range g.running {
			g.kill(name)
		}
	})
	for name := range g.configs {
		g.start(name)
	}
	return g
}

func memberName(i int) string { return fmt.Sprint("control-", i+1) }

func (g *controlGroup) start(name string) {
	data, err := json.Marshal(g.configs[name])
	if err != nil {
		g.b.Fatal(err)
	}
	file := filepath.Join(g.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		g.b.Fatal(err)
	}
	role := "entry"
	if _, ok := g.configs[name]["control"]; ok {
		role = "control"
	}
	cmd := guavastackCommand(role, "--config", file)
	if err := cmd.Start(); err != nil {
		g.b.Fatal(err)
	}
	g.running[name] = cmd
}

func (g *controlGroup) kill(name string) {
	_ = g.running[name].Process.Kill()
	_ = g.running[name].Wait()
	delete(g.running, name)
}

func (g *controlGroup) client(member int) *adminclient.Client {
	return adminclient.New("http://"+g.admins[member], groupToken, nil)
}

// waitReady waits until a member's state is confirmed by a quorum and in force at all entries, and returns the waiting time.
func (g *controlGroup) waitReady(member int) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		status, err := g.client(member).Status(ctx, "", 0)
		cancel()
		if err == nil && status.Confirmed && status.InForce && len(status.Processes) == groupEntries {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.b.Fatalf("member %d is not ready after a minute", member)
	return 0
}

func (g *controlGroup) putOrganisation(member int, organisation, id string, wait time.Duration) (adminapi.Change, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return g.client(member).PutOrganisation(ctx, organisation, `{"defaults": {"weight": 2}}`,
		adminclient.Options{IfMatch: "*", ChangeID: id, Wait: wait})
}

// BenchmarkControlGroupChange measures a change through the operators' API until it is in force at all entries.
func BenchmarkControlGroupChange(b *testing.B) {
	g := startGroup(b)
	g.waitReady(0)
	b.ResetTimer()
	for i := range b.N {
		change, err := g.putOrganisation(i%groupMembers, fmt.Sprint("org-", i%50), fmt.Sprint("change-", i), time.Minute)
		if err != nil || !change.InForce {
			b.Fatalf("got change %+v, error %v, want a change in force", change, err)
		}
	}
}

// BenchmarkControlGroupWrites measures accepted changes of 16 concurrent operators, without waiting until they are in force.
func BenchmarkControlGroupWrites(b *testing.B) {
	g := startGroup(b)
	g.waitReady(0)
	b.ResetTimer()
	var operators sync.WaitGroup
	for w := range groupWriters {
		operators.Go(func() {
			for i := w; i < b.N; i += groupWriters {
				if _, err := g.putOrganisation(w%groupMembers, fmt.Sprint("org-", w), fmt.Sprint("change-", i), time.Nanosecond); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	operators.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
}

// BenchmarkControlGroupKills repeatedly kills and restarts the leader while operators make changes, and at the end kills and
// restarts all members. It fails if an accepted change is missing, duplicated or recorded at another version, or if the newest
// version differs from the number of changes.
func BenchmarkControlGroupKills(b *testing.B) {
	g := startGroup(b)
	g.waitReady(0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	accepted := make(map[string]string) // change id → version
	var operators sync.WaitGroup
	for w := range 3 {
		operators.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("change-%d-%d", w, i)
				for attempt := 0; ; attempt++ {
					change, err := g.putOrganisation((w+attempt)%groupMembers, fmt.Sprint("org-", w), id, time.Nanosecond)
					if err == nil {
						mu.Lock()
						accepted[id] = change.Version
						mu.Unlock()
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	var restarts time.Duration
	b.ResetTimer()
	for range b.N {
		victim := g.leader()
		g.kill(memberName(victim))
		time.Sleep(1500 * time.Millisecond)
		g.start(memberName(victim))
		restarts += g.waitReady(victim)
	}
	b.StopTimer()
	cancel()
	operators.Wait()
	for i := range groupMembers {
		g.kill(memberName(i))
	}
	start := time.Now()
	for i := range groupMembers {
		g.start(memberName(i))
	}
	g.waitReady(0)
	b.ReportMetric(time.Since(start).Seconds(), "s/restart-of-all")
	b.ReportMetric(restarts.Seconds()/float64(b.N), "s/restart")
	b.ReportMetric(float64(len(accepted)), "changes")
	g.checkHistory(accepted)
}

// leader returns the index of the leader according to the first member whose status names one, or 0 if none does.
func (g *controlGroup) leader() int {
	for i := range groupMembers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := g.client(i).Status(ctx, "", 0)
		cancel()
		for j := range groupMembers {
			if err == nil && (status.Leader == fmt.Sprint(j+1) || status.Leader == memberName(j)) {
				return j
			}
		}
	}
	return 0
}

// checkHistory compares the history of each member with the accepted changes.
func (g *controlGroup) checkHistory(accepted map[string]string) {
	for i := range groupMembers {
		history, err := g.client(i).History(context.Background(), settings.MaxHistory)
		if err != nil {
			g.b.Fatal(err)
		}
		versions := make(map[string][]string)
		for _, c := range history.Changes {
			versions[c.ChangeID] = append(versions[c.ChangeID], c.Version)
		}
		for id, v := range accepted {
			if !slices.Equal(versions[id], []string{v}) {
				g.b.Errorf("member %d: change %s was accepted as version %s, got versions %v in the history, want only that one", i+1, id, v, versions[id])
			}
		}
		newest, err := settings.ParseVersion(history.Version)
		if err != nil || newest.Version != uint64(len(history.Changes)) {
			g.b.Errorf("member %d: got version %s with %d changes in the history, want as many changes as the version counts", i+1, history.Version, len(history.Changes))
		}
	}
}
