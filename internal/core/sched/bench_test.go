package sched

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmitAndNext measures one arrival and one start with 10,000 waiting requests of 6 tiers and 1,000 organisations.
func BenchmarkAdmitAndNext(b *testing.B) {
	const waitingRequests, tiers, organisations = 10_000, 6, 1_000
	s := New(Config{Slots: 64, QueueLimit: 2 * waitingRequests, FloorShare: -1})
	request := func(i int) Request {
		return Request{
			ID: fmt.Sprint(i), Tier: i % tiers, Class: fmt.Sprint(i % tiers), Organisation: fmt.Sprint(i * 7 % organisations),
			PromptTokens: 100 + i%400, FirstTokenTarget: time.Duration(i%1000) * time.Millisecond,
			Deadline: epoch.Add(time.Hour + time.Duration(i%1000)*time.Second),
		}
	}
	var runningIDs []string
	collect := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == Start {
				runningIDs = append(runningIDs, a.ID)
			}
		}
	}
	for i := range waitingRequests + 64 {
		collect(s.Submit(epoch, request(i)))
	}
	arrivals := make([]Request, b.N)
	for i := range arrivals {
		arrivals[i] = request(waitingRequests + 64 + i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		collect(s.Submit(epoch, arrivals[i]))
		id := runningIDs[0]
		runningIDs = runningIDs[1:]
		collect(s.Finish(epoch, id))
	}
	b.StopTimer()
	if got := s.Load(epoch).Waiting; got < waitingRequests {
		b.Fatalf("got %d waiting requests, want at least 10000", got)
	}
}
