package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// standin is a backend server: it announces itself and serves requests with a handler.
type standin struct {
	sys     *system
	service string
	zone    string
	address string
	slots   int
	handle  func(*standin, http.ResponseWriter, *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	state    string
	sequence int
	srv      *http.Server
	running  atomic.Int64
	stop     chan struct{}
}

var (
	standinNumber atomic.Int64
	sealNumber    atomic.Int64
)

// newStandin prepares a backend server at an address that it keeps.
func newStandin(s *system, service, zone, address string, slots int, handle func(*standin, http.ResponseWriter, *http.Request)) *standin {
	return &standin{sys: s, service: service, zone: zone, address: address, slots: slots, handle: handle}
}

// start starts a new incarnation.
func (b *standin) start() error {
	lis, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.id = fmt.Sprintf("i-%08x", 0x7f3a9100+standinNumber.Add(1))
	b.born, b.sequence, b.state = time.Now().UnixMilli(), 0, "ready"
	b.stop = make(chan struct{})
	b.srv = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	srv, stop, id := b.srv, b.stop, b.id
	b.mu.Unlock()
	go func() { _ = srv.Serve(lis) }()
	go b.beat(stop)
	b.sys.record.line("server %s of %s starts at %s", id, b.service, b.address)
	return nil
}

// crash ends the incarnation at once: it closes its listener and all connections, and announces nothing.
func (b *standin) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.srv == nil {
		return
	}
	close(b.stop)
	_ = b.srv.Close()
	b.srv = nil
}

// name returns the id of the incarnation.
func (b *standin) name() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id
}

// beat announces the incarnation until it ends.
func (b *standin) beat(stop chan struct{}) {
	for {
		b.announce()
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (b *standin) announce() {
	b.mu.Lock()
	b.sequence++
	id := b.id
	body := map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": b.state,
		"coldRemainingMs": 0, "sequence": b.sequence, "born": b.born,
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _, _ = b.sys.callAnyControl(ctx, http.MethodPost, "/Instances.Heartbeat/"+id, body)
}

// serve checks what every server checks, sets the headers of an answer and passes the request to the handler.
func (b *standin) serve(w http.ResponseWriter, r *http.Request) {
	id := b.name()
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerInstance, id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := b.running.Add(1)
	defer b.running.Add(-1)
	if running > int64(b.slots)*4 {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerSeal, fmt.Sprintf("seal.%s.%d", id, sealNumber.Add(1)))
	w.Header().Set("Guavastack-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, int64(b.slots)), max(0, running-int64(b.slots)), b.slots))
	b.handle(b, w, r)
}
