package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// backend is a stand-in of one backend server of a plain service.
type backend struct {
	sys    *system
	server *http.Server
	ip     string
	born   time.Time

	mu       sync.Mutex
	runs     map[string]int // by the id of the request
	sequence int
}

// startBackend listens and sends heartbeats until ctx is done.
func startBackend(ctx context.Context, s *system) (*backend, error) {
	const host = 250
	b := &backend{sys: s, ip: fmt.Sprintf("%s.%d", s.network, host), born: time.Now(), runs: make(map[string]int)}
	lis, err := net.Listen("tcp", b.address())
	if err != nil {
		return nil, errors.Trace(err)
	}
	b.server = &http.Server{Handler: backendHandler("i-1", b.ran), ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(lis) }()
	go b.beat(ctx)
	return b, nil
}

func (b *backend) address() string { return fmt.Sprintf("%s:%d", b.ip, backendPort) }

func (b *backend) close() { _ = b.server.Close() }

func (b *backend) ran(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

// twice returns the id of a request that ran more than once, or "".
func (b *backend) twice() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.runs {
		if n > 1 {
			return id
		}
	}
	return ""
}

// beat sends heartbeats, each to the machine that took the last one, or to the next ones of the operator's list.
func (b *backend) beat(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		machines := b.sys.listed(time.Now())
		for range machines {
			if b.report(machines[next%len(machines)]) {
				break
			}
			next++
		}
		_ = sleep(ctx, beatInterval)
	}
}

func (b *backend) report(m *machine) bool {
	b.sequence++
	body, err := heartbeat(b.address(), "zone-a", b.sequence, b.born)
	if err != nil {
		return false
	}
	status, _, err := callControl(http.MethodPost, address(m, operatorPort), pathHeartbeat+"i-1", body)
	return err == nil && status/100 == 2
}

// sleep waits, or returns an error when the time of the run is over.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
