package main

import (
	"encoding/json"
	"reflect"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	firstVersion = 7
	versionStep  = 3
)

// ledger knows which versions of the configuration were sent and acknowledged.
type ledger struct {
	mu    sync.Mutex
	sent  int               // newest version sent
	acked map[int]time.Time // by version
}

// next returns the next version to send.
func (l *ledger) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = max(firstVersion, l.sent+versionStep)
	return l.sent
}

func (l *ledger) acknowledge(version int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acked == nil {
		l.acked = make(map[int]time.Time)
	}
	l.acked[version] = at
}

// newest returns the newest version that was acknowledged up to a time, and when, or 0.
func (l *ledger) newest(until time.Time) (version int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for v, t := range l.acked {
		if v > version && !t.After(until) {
			version, at = v, t
		}
	}
	return version, at
}

// checkRead returns an error if the answer to a read that was sent at a time is older than what was acknowledged, or isn't what was
// sent under its number.
func (l *ledger) checkRead(data []byte, sentAt time.Time) (version int, err error) {
	var got document
	if err := json.Unmarshal(data, &got); err != nil {
		return 0, errors.Annotate(err, "read of the configuration")
	}
	if floor, _ := l.newest(sentAt.Add(-applyBound)); got.Version < floor {
		return got.Version, errors.Errorf("read version %d, %d was acknowledged before", got.Version, floor)
	}
	l.mu.Lock()
	sent := l.sent
	l.mu.Unlock()
	if got.Version > sent || got.Version%versionStep != firstVersion%versionStep {
		return got.Version, errors.Errorf("read version %d, which was never sent", got.Version)
	}
	if want := newDocument(got.Version); !reflect.DeepEqual(got, want) {
		return got.Version, errors.Errorf("read version %d with other content", got.Version)
	}
	return got.Version, nil
}
