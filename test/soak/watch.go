package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readInterval   = 150 * time.Millisecond
	clientInterval = 50 * time.Millisecond
)

// watcher reads the configuration and sends requests all the time.
type watcher struct {
	sys    *system
	ledger *ledger
	report func(kind breakKind, detail string)

	requests       atomic.Int64 // numbers the requests
	served, failed atomic.Int64
}

// reads reads the configuration at any machine until ctx is done.
func (w *watcher) reads(ctx context.Context) {
	for ctx.Err() == nil {
		machines := w.sys.current()
		w.read(machines[rand.IntN(len(machines))])
		_ = sleep(ctx, readInterval)
	}
}

// read reads the configuration at a machine and returns its version, or 0.
func (w *watcher) read(m *machine) int {
	sentAt := time.Now()
	status, data, err := callControl(http.MethodGet, address(m, operatorPort), pathGet, nil)
	if err != nil || status != http.StatusOK {
		return 0
	}
	version, err := w.ledger.checkRead(data, sentAt)
	if err != nil {
		w.report(brokenRead, fmt.Sprintf("%s: %v", m.name, err))
	}
	return version
}

// clients sends requests with the key of all versions until ctx is done.
func (w *watcher) clients(ctx context.Context) {
	for ctx.Err() == nil {
		m := w.sys.instances[rand.IntN(len(w.sys.instances))]
		if w.request(m, basePath, baseKey) == http.StatusOK {
			w.served.Add(1)
		} else {
			w.failed.Add(1)
		}
		_ = sleep(ctx, clientInterval)
	}
}

// request sends one request and returns the status of its answer, or 0.
func (w *watcher) request(m *machine, path, key string) int {
	id := fmt.Sprintf("r-%d", w.requests.Add(1))
	status, err := sendRequest(address(m, frontPort), path, key, id)
	if err == nil {
		return status
	}
	if status == http.StatusOK {
		w.report(brokenAnswer, fmt.Sprintf("%s, request %s: %v", m.name, id, err))
	}
	return 0
}

// formerKeys sends requests with a key that an acknowledged version took away, until ctx is done.
func (w *watcher) formerKeys(ctx context.Context) {
	for ctx.Err() == nil {
		m := w.sys.instances[rand.IntN(len(w.sys.instances))]
		sentAt := time.Now()
		version, _ := w.ledger.newest(sentAt.Add(-revokeBound))
		if former := version - versionStep; former >= firstVersion && w.request(m, basePath, versionKey(former)) == http.StatusOK {
			w.report(brokenRevocation, fmt.Sprintf("%s served the key of version %d, %d was acknowledged %v before", m.name, former, version, revokeBound))
		}
		_ = sleep(ctx, 4*clientInterval)
	}
}

// notInForce returns an instance that does not serve the route and the key that only a version has, or "".
func (w *watcher) notInForce(version int) (missing string) {
	for _, m := range w.sys.instances {
		if status := w.request(m, versionPath(version), versionKey(version)); status != http.StatusOK {
			return fmt.Sprintf("%s: status %d", m.name, status)
		}
	}
	return ""
}
