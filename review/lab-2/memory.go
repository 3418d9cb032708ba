package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["memory"] = runMemory }

const (
	// Each request stays within the limits of the configuration: a head of 16,384 bytes, a body of 4 MiB.
	memoryClients   = 1100 // at each of the two gateways
	memoryHeadLines = 240
	memoryHeadBytes = 15800
	memoryBodyBytes = 20000 // as a dossier of the sheet has
	memoryWaves     = 3
	waveTime        = 14 * time.Second
	restartDelay    = 500 * time.Millisecond
	streamEvents    = 20
	streamGap       = 400 * time.Millisecond
)

// answerDraft writes a stream of about eight seconds.
func answerDraft(_ *standin, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range streamEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of the answer\n\n", n+1, n+1)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamGap):
		}
	}
}

// platformWatch kills the gateway of a machine whenever it uses more than its memory, as the platform does, and restarts it after a short
// delay. It returns how often that happened.
func (s *system) platformWatch(i int, until time.Time) (ends int, peak int64, err error) {
	m := s.machines[i]
	for time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
		p := s.process("gateway", i)
		used, _, memErr := p.memory()
		switch {
		case p.hasEnded():
			s.record.line("the gateway of %s has ended", m.name)
		case memErr != nil || used <= memoryMB<<20:
			peak = max(peak, used)
			continue
		default:
			peak = max(peak, used)
			s.record.line("the gateway of %s uses %d MiB of %d and is killed", m.name, used>>20, memoryMB)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		ends++
		time.Sleep(restartDelay)
		if err := s.startRole(m, "gateway"); err != nil {
			return ends, peak, err
		}
	}
	return ends, peak, nil
}

func runMemory(root string, rec *record, trouble bool) error {
	if err := checkDescriptors(6 * memoryClients); err != nil {
		return err
	}
	drafts := route{
		Name: "drafts", Hostname: hostname, PathPrefix: "/drafts/", Kind: "streaming", TimeoutMS: 12000, TargetMS: 300, Priority: 0,
		Service: "assistant", Attempts: 1, GapMS: 2000,
	}
	servers := []*standin{newStandin(nil, "orders", "porto-a", "", 6, answerDone)}
	for i := range 12 {
		servers = append(servers, newStandin(nil, "assistant", zoneNames[i%len(zoneNames)], "", 64, answerDraft))
	}
	s, err := startSmall(root, rec, 5, servers, newConfiguration(1, ordersRoute, drafts))
	if err != nil {
		return err
	}
	defer s.close()
	targets := []int{3, 4} // machines without a control member
	for _, i := range targets {
		if err := s.awaitServed(i, "/orders/1"); err != nil {
			return err
		}
	}
	until := time.Now().Add(memoryWaves * waveTime)
	var all sync.WaitGroup
	var mu sync.Mutex
	ends, machines := 0, 0
	for _, i := range targets {
		all.Go(func() {
			n, peak, err := s.platformWatch(i, until)
			mu.Lock()
			defer mu.Unlock()
			rec.line("the gateway of %s was over its memory %d times; peak %d MiB, error %v", s.machines[i].name, n, peak>>20, err)
			if n >= memoryWaves {
				machines++
			}
			ends += n
		})
	}
	var extra strings.Builder
	value := strings.Repeat("x", memoryHeadBytes/memoryHeadLines-9)
	for i := range memoryHeadLines {
		fmt.Fprintf(&extra, "X-%03d: %s\r\n", i, value)
	}
	for wave := range memoryWaves {
		began := time.Now()
		if trouble {
			for _, i := range targets {
				if err := s.awaitServed(i, "/orders/1"); err != nil {
					return err
				}
				s.sendWave(i, wave, extra.String())
			}
		}
		time.Sleep(time.Until(began.Add(waveTime)))
	}
	all.Wait()
	if machines >= 2 {
		return fmt.Errorf("%w: on %d of %d machines a process used more than its memory %d times or more, %d in all", errBroken, machines, len(s.machines), memoryWaves, ends)
	}
	return nil
}

// sendWave sends requests with large heads and whole bodies, on a connection each, and reads their answers.
func (s *system) sendWave(i, wave int, headers string) {
	for n := range memoryClients {
		go func() {
			conn, err := net.DialTimeout("tcp", s.address(i, s.ports.front), time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			r := request{
				id: newID(), method: http.MethodPost, path: "/drafts/1", deadline: 12 * time.Second, headers: headers,
				body: make([]byte, memoryBodyBytes),
			}
			head := r.head()
			if n == 0 {
				s.record.line("wave %d: %d clients send requests of %d + %d bytes to %s", wave+1, memoryClients, len(head), len(r.body), s.machines[i].name)
			}
			_ = conn.SetDeadline(time.Now().Add(13 * time.Second))
			if _, err := conn.Write(append(head, r.body...)); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
}
