package main

import (
	"encoding/json"
	"testing"
	"time"
)

func TestReadsAreChecked(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &ledger{}
	first, second, third := l.next(), l.next(), l.next()
	l.acknowledge(first, now.Add(-10*time.Second))
	l.acknowledge(second, now.Add(-5*time.Second))
	changed := newDocument(second)
	changed.Routes[0].TimeoutMS++
	for name, c := range map[string]struct {
		doc  document
		isOK bool
	}{
		"newest":                {newDocument(second), true},
		"not acknowledged yet":  {newDocument(third), true},
		"older":                 {newDocument(first), false},
		"never sent":            {newDocument(third + versionStep), false},
		"a number in between":   {newDocument(second + 1), false},
		"with another time-out": {changed, false},
	} {
		data, err := json.Marshal(c.doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.checkRead(data, now); (err == nil) != c.isOK {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := l.checkRead([]byte("{"), now); err == nil {
		t.Error("half a document is taken")
	}
}

func TestAcknowledgementCountsAfterItsBound(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &ledger{}
	first, second := l.next(), l.next()
	l.acknowledge(first, now.Add(-time.Minute))
	l.acknowledge(second, now.Add(-applyBound/2))
	data, err := json.Marshal(newDocument(first))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.checkRead(data, now); err != nil {
		t.Error(err)
	}
}
