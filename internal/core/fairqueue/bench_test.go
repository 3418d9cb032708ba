package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCalm measures a request of a service that is not contended, of 64 organisations.
func BenchmarkCalm(b *testing.B) {
	q := New(Config{})
	names := benchNames(64)
	now := simStart
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		t := q.Enter(now, Request{Organisation: names[i%len(names)], Arrived: now, Target: testTarget, Deadline: now.Add(time.Second)}, 0)[0]
		q.End(now, t, Answered, "s1", Load{Running: 1, Slots: 6})
		q.Poll(now)
	}
}

// BenchmarkContended measures a request that enters a queue of 64 organisations with requests above the limit.
func BenchmarkContended(b *testing.B) {
	q := New(Config{})
	q.control.isContended, q.control.limit, q.control.serviceTime = true, 2, 40*time.Millisecond
	names := benchNames(64)
	now := simStart
	var sent []*Ticket
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		for _, t := range q.Enter(now, Request{Organisation: names[i%len(names)], Arrived: now, Target: testTarget, Deadline: now.Add(time.Second)}, 0) {
			if t.State == Sent {
				sent = append(sent, t)
			}
		}
		if len(sent) > 0 && i%20 == 0 {
			q.End(now, sent[0], Answered, fmt.Sprint(i%4), Load{Running: 6, Waiting: 3, Slots: 6})
			sent = sent[1:]
		}
		for _, t := range q.Poll(now) {
			if t.State == Sent {
				sent = append(sent, t)
			}
		}
	}
}

func benchNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
	}
	return names
}
