package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/localcluster"
	"github.com/guavastack/guavastack/internal/standin/service"
)

// TestSeparateProcessesServeRequests sends requests through a system of separate processes, and checks that an order with the same
// idempotency key runs once across entries and that usage is reported to the platform.
func TestSeparateProcessesServeRequests(t *testing.T) {
	c := newCluster(t, 2)
	for _, entry := range c.Names(localcluster.RoleEntry) {
		if r := c.chat(entry, 20); !r.ok || strings.Count(r.body, "data: ") != 21 {
			t.Errorf("%s: got status %d, error %v, body %s, want status 200 with 21 events", entry, r.status, r.err, r.body)
		}
	}
	if r := c.placeOrder("entry-1", "hides", "k"); !r.ok {
		t.Errorf("order: got %+v, want status 200", r)
	}
	if r := c.placeOrder("entry-2", "hides", "k"); !r.ok || c.arrivals("hides") != 1 {
		t.Errorf("order with the same key at another entry: got %+v and %d arrivals, want status 200 and 1 arrival", r, c.arrivals("hides"))
	}
	c.waitUntil("a usage report at the platform", func() bool { return len(c.Platform.Record().Events) > 0 })
}

// TestKeyWithdrawalEndsOpenStreams withdraws a key while both entries stream a response to a caller with this key.
func TestKeyWithdrawalEndsOpenStreams(t *testing.T) {
	c := newCluster(t, 1)
	first := c.openStream("entry-1")
	second := c.openStream("entry-2")
	if _, err := c.Admin().WithdrawKey(context.Background(), "camurca", c.key.ID, adminclient.Options{}); err != nil {
		t.Fatal(err)
	}
	for _, r := range []io.Reader{first, second} {
		rest, err := io.ReadAll(r)
		if err == nil || !strings.Contains(string(rest), `"code":"key_withdrawn"`) || strings.Contains(string(rest), "[DONE]") {
			t.Errorf("stream ended with error %v in %s, want an error and the code key_withdrawn without [DONE]", err, tail(string(rest), 300))
		}
	}
	for _, entry := range c.Names(localcluster.RoleEntry) {
		if r := c.chat(entry, 1); r.status != http.StatusUnauthorized || r.verdict != "not_run" {
			t.Errorf("%s: got %+v for the withdrawn key, want status 401 and verdict not_run", entry, r)
		}
	}
}

// TestControlGroupSuspended suspends all control members, which leaves their connections open. Requests with a key must end with
// an error, since the settings can't be confirmed; open routes must still be served.
func TestControlGroupSuspended(t *testing.T) {
	c := newCluster(t, 1)
	stream := c.openStream("entry-1")
	c.signalAll(localcluster.RoleControl, syscall.SIGSTOP)
	rest, err := io.ReadAll(stream)
	if err == nil || !strings.Contains(string(rest), `"code":"settings_not_fresh"`) {
		t.Errorf("stream ended with error %v in %s, want an error and the code settings_not_fresh", err, tail(string(rest), 300))
	}
	if r := c.placeOrder("entry-1", "suspended", ""); r.status != http.StatusServiceUnavailable || r.verdict != "not_run" {
		t.Errorf("keyed request during the suspension: got %+v, want status 503 and verdict not_run", r)
	}
	if r := c.request("entry-1", http.MethodPost, "/services/stock", "stock", nil); !r.ok {
		t.Errorf("request to an open route during the suspension: got %+v, want status 200", r)
	}
	c.signalAll(localcluster.RoleControl, syscall.SIGCONT)
	c.waitUntil("a response after the suspension", func() bool { return c.placeOrder("entry-1", "resumed", "").ok })
	if n := c.arrivals("suspended"); n != 0 {
		t.Errorf("request with verdict not_run arrived %d times, want 0", n)
	}
}

// TestEntryKilledWithOrdersInFlight kills entries while orders are in flight. Callers retry them with the same idempotency key
// at the other entry until the outcome is known. No order may arrive twice.
func TestEntryKilledWithOrdersInFlight(t *testing.T) {
	c := newCluster(t, 1)
	c.Services[0].Inject(service.Fault{Kind: service.Slow, DelayMs: 20})
	const rounds, perRound = 4, 6
	for round := range rounds {
		victim := fmt.Sprintf("entry-%d", 1+round%2)
		other := fmt.Sprintf("entry-%d", 2-round%2)
		var callers sync.WaitGroup
		for i := range perRound {
			body := fmt.Sprintf("order %d of round %d", i, round)
			callers.Go(func() {
				r := c.placeOrder(victim, body, body)
				c.waitUntil("outcome of "+body, func() bool {
					if r.ok || r.verdict == "may_have_run" && r.err == nil {
						return true
					}
					r = c.placeOrder(other, body, body)
					return false
				})
				if r.ok && c.arrivals(body) != 1 {
					t.Errorf("%s was served and arrived %d times, want 1", body, c.arrivals(body))
				}
			})
		}
		c.waitUntil("an arrival", func() bool { return c.arrivals(fmt.Sprintf("order 0 of round %d", round)) > 0 || round%2 == 1 })
		c.Kill(victim)
		callers.Wait()
		c.restart(victim)
	}
	for d, n := range c.Services[0].Arrivals() {
		if n > 1 && d != bodyDigest("warm-up") {
			t.Errorf("an order arrived %d times, want at most once", n)
		}
	}
}

// TestAgentKilledDuringResponse kills an agent during a streamed response. The caller gets an error event, and the engine's
// request is cancelled.
func TestAgentKilledDuringResponse(t *testing.T) {
	c := newCluster(t, 1)
	stream := c.openStream("entry-1")
	c.Kill("engine-1")
	rest, err := io.ReadAll(stream)
	if err == nil || strings.Contains(string(rest), "[DONE]") || !strings.Contains(string(rest), "event: error") {
		t.Errorf("stream ended with error %v in %s, want an error and an error event without [DONE]", err, tail(string(rest), 300))
	}
	c.restart("engine-1")
	c.waitUntil("a response through the restarted agent", func() bool { return c.chat("entry-2", 3).ok })
	c.waitUntil("cancellation of the killed agent's requests", func() bool { return c.Engines["engine-1"].Running() == 0 })
}

// TestRollingRestart restarts every process in turn under load. No request may fail.
func TestRollingRestart(t *testing.T) {
	c := newCluster(t, 2)
	b := newBalancer(c)
	var stop atomic.Bool
	var sent, failed atomic.Int64
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for !stop.Load() {
				r := b.chat(30)
				sent.Add(1)
				if !r.ok {
					failed.Add(1)
					t.Errorf("got status %d, error %v, verdict %s, body %s, want a complete response", r.status, r.err, r.verdict, tail(r.body, 300))
				}
			}
		})
	}
	for _, name := range append(append(c.Names(localcluster.RoleEntry), c.Names(localcluster.RoleAgent)...), c.Names(localcluster.RoleControl)...) {
		before := sent.Load()
		if err := c.Stop(name); err != nil {
			t.Errorf("got error %v from the stop, want none; log:\n%s", err, c.Log(name))
		}
		c.restart(name)
		c.waitUntil("requests after the restart of "+name, func() bool { return sent.Load() > before+4 })
	}
	stop.Store(true)
	callers.Wait()
	b.close()
	t.Logf("%d requests during the restarts, %d failed", sent.Load(), failed.Load())
}

// TestLeadersKilledAndSuspended kills and suspends leaders during changes and usage reports. Every accepted change must be in the
// history exactly once at its version, and the platform must record no violation.
func TestLeadersKilledAndSuspended(t *testing.T) {
	c := newCluster(t, 1)
	ctx := context.Background()
	accepted := make(map[string]string) // version by change id
	change := func(id string) {
		t.Helper()
		c.waitUntil("change "+id, func() bool {
			patch := fmt.Sprintf(`{"classes":{"fast":{"weight":%d}}}`, 1+len(accepted))
			r, err := c.Admin().PatchOrganisation(ctx, "camurca", patch, adminclient.Options{IfMatch: "*", ChangeID: id})
			if err == nil {
				accepted[id] = r.Version
			}
			return err == nil
		})
	}
	for round := range 4 {
		change(fmt.Sprintf("before-%d", round))
		leader := c.leader()
		if round%2 == 0 {
			c.Kill(leader)
		} else {
			c.must(c.Signal(leader, syscall.SIGSTOP))
		}
		change(fmt.Sprintf("during-%d", round))
		c.chat("entry-1", 5)
		if round%2 == 0 {
			c.restart(leader)
		} else {
			c.must(c.Signal(leader, syscall.SIGCONT))
			c.must(c.WaitReady(leader))
		}
		change(fmt.Sprintf("after-%d", round))
	}
	h, err := c.Admin().History(ctx, 1000)
	if err != nil {
		t.Fatal(err)
	}
	times := make(map[string]int)
	for _, entry := range h.Changes {
		times[entry.ChangeID]++
		if v, ok := accepted[entry.ChangeID]; ok && v != entry.Version {
			t.Errorf("change %s was accepted as version %s, got version %s in the history", entry.ChangeID, v, entry.Version)
		}
	}
	for id := range accepted {
		if times[id] != 1 {
			t.Errorf("accepted change %s is %d times in the history, want once", id, times[id])
		}
	}
	reported := len(c.Platform.Record().Events)
	c.waitUntil("reports by the last leader", func() bool { return len(c.Platform.Record().Events) > reported })
	if v := c.Platform.Record().Violations; len(v) > 0 {
		t.Errorf("got violations %v at the platform, want none", v)
	}
}
