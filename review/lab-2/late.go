package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["late"] = runLate }

const (
	drainTime     = 2 * time.Second         // drainMs of the sheet
	killAfter     = 300 * time.Millisecond  // from the acknowledgement to the kill of the core
	backAfter     = 500 * time.Millisecond  // from the kill to the restart
	heartbeatLate = 2500 * time.Millisecond // how late the last heartbeat arrives
	serveAfter    = 9 * time.Second         // how long the leaving server serves on
)

// lateBeat sends the next heartbeat of a server. The function that it returns delivers it a time after that.
func (b *standin) lateBeat(after time.Duration) func() {
	b.mu.Lock()
	b.sequence++
	id := b.id
	body := map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": b.sequence, "born": b.born,
	}
	sequence := b.sequence
	b.mu.Unlock()
	sent := time.Now()
	b.sys.record.line("server %s sends heartbeat %d; it is held up on its way", id, sequence)
	return func() {
		time.Sleep(time.Until(sent.Add(after)))
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		status, _, err := b.sys.callAnyControl(ctx, http.MethodPost, "/Instances.Heartbeat/"+id, body)
		b.sys.record.line("heartbeat %d of %s arrives and is answered %d %v", sequence, id, status, err)
	}
}

func runLate(root string, rec *record, trouble bool) error {
	var leaving atomic.Pointer[standin]
	var ackAt atomic.Pointer[time.Time]
	var mu sync.Mutex
	lateRuns := 0
	handle := func(b *standin, w http.ResponseWriter, r *http.Request) {
		if at := ackAt.Load(); at != nil && b == leaving.Load() {
			since := time.Since(*at)
			rec.line("server %s, which leaves, runs %s %.0f ms after the acknowledgement", b.name(), r.Header.Get(headerID), since.Seconds()*1000)
			// Machines are in touch again contactMs after the last event at the core.
			if since > max(drainTime, killAfter+backAfter+contactTime+200*time.Millisecond) {
				mu.Lock()
				lateRuns++
				mu.Unlock()
			}
		}
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("Content-Length", "5")
		_, _ = w.Write([]byte("done\n"))
	}
	servers := []*standin{newStandin(nil, "orders", "porto-a", "", 6, handle), newStandin(nil, "orders", "porto-b", "", 6, handle)}
	s, err := startSmall(root, rec, 6, servers, newConfiguration(1, ordersRoute))
	if err != nil {
		return err
	}
	defer s.close()
	time.Sleep(5 * time.Second)
	until := time.Now().Add(serveAfter + time.Second)
	var clients sync.WaitGroup
	var answered, sent atomic.Int64
	clients.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			m := 3 + n%3 // machines that don't belong to the core
			clients.Go(func() {
				sent.Add(1)
				a := send(s.address(m, s.ports.front), request{id: newID(), method: http.MethodPost, path: "/orders/1", deadline: 1500 * time.Millisecond, body: []byte("one")})
				if a.status == http.StatusOK {
					answered.Add(1)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
	})
	b := servers[0]
	close(b.stop) // this server doesn't report that it drains: it deregisters, serves on and exits
	time.Sleep(50 * time.Millisecond)
	deliver := b.lateBeat(heartbeatLate)
	clients.Go(deliver)
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, _, err := s.callAnyControl(ctx, http.MethodPost, "/Instances.Deregister/"+b.name(), map[string]any{"born": b.born, "sequence": b.sequence + 1})
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("deregistration is answered %d, %v", status, err)
	}
	now := time.Now()
	leaving.Store(b)
	ackAt.Store(&now)
	rec.line("server %s deregisters, which is acknowledged", b.name())
	if trouble {
		time.Sleep(killAfter)
		for i := range 3 {
			for _, role := range []string{"control", "gateway"} {
				_ = s.process(role, i).cmd.Process.Kill()
			}
		}
		rec.line("all processes of the core are killed")
		time.Sleep(backAfter)
		for i := range 3 {
			<-s.process("control", i).done
			<-s.process("gateway", i).done
			if err := s.start(i); err != nil {
				return err
			}
		}
	}
	clients.Wait()
	rec.line("%d of %d requests were answered with 200", answered.Load(), sent.Load())
	if lateRuns > 0 {
		return fmt.Errorf("%w: %d requests reached a server that leaves, by machines in touch, later than %v after the acknowledgement", errBroken, lateRuns, drainTime)
	}
	return nil
}
