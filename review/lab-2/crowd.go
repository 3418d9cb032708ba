package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["crowd"] = runCrowd }

const (
	crowdClients  = 1300  // without a key
	crowdBody     = 40000 // bytes that they announce
	crowdMissing  = 100   // bytes of them that don't come
	crowdTime     = 27 * time.Second
	crowdRamp     = 3 * time.Second // in which they connect first
	crowdPause    = time.Second     // before a client whose connection ended connects again, and up to twice as long
	callersCount  = 8               // ordinary clients; the rule asks for seven or more
	callersPause  = 250 * time.Millisecond
	takenAfter    = time.Second     // a connection that stays open for so long was taken
	crowdSettling = 4 * time.Second // until the ordinary clients begin
)

// attempt is one new connection.
type attempt struct {
	at     time.Time
	caller int // number of the ordinary client; -1: another one
	taken  bool
}

// attemptLog holds the attempts to connect.
type attemptLog struct {
	mu  sync.Mutex
	all []attempt
}

func (l *attemptLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// longestRefusal returns the longest span in which no attempt was taken, and how many ordinary clients tried in it.
func (l *attemptLog) longestRefusal(from, until time.Time) (began time.Time, longest time.Duration, callers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edges := []time.Time{from}
	for at := from; at.Before(until); at = at.Add(10 * time.Millisecond) {
		next := at.Add(10 * time.Millisecond)
		for _, a := range l.all {
			if a.taken && !a.at.Before(at) && a.at.Before(next) {
				edges = append(edges, next)
				break
			}
		}
	}
	edges = append(edges, until)
	for i := 1; i < len(edges); i++ {
		end := edges[i]
		if i < len(edges)-1 {
			end = end.Add(-10 * time.Millisecond)
		}
		if span := end.Sub(edges[i-1]); span > longest {
			began, longest = edges[i-1], span
		}
	}
	seen := make(map[int]bool)
	for _, a := range l.all {
		if a.caller >= 0 && !a.at.Before(began) && a.at.Before(began.Add(longest)) {
			seen[a.caller] = true
		}
	}
	return began, longest, len(seen)
}

func runCrowd(root string, rec *record, trouble bool) error {
	if err := checkDescriptors(2 * crowdClients); err != nil {
		return err
	}
	s, err := startSmall(root, rec, 4, []*standin{newStandin(nil, "orders", "porto-a", "", 6, answerDone)}, newConfiguration(1, ordersRoute))
	if err != nil {
		return err
	}
	defer s.close()
	const target = 3 // a machine without a control member
	if err := s.awaitServed(target, "/orders/1"); err != nil {
		return err
	}
	log := &attemptLog{}
	var bytesSent atomic.Int64
	until := time.Now().Add(crowdTime)
	var clients sync.WaitGroup
	if trouble {
		rec.line("%d clients without a key send requests of %d bytes, of which the last %d don't come, to %s", crowdClients, crowdBody, crowdMissing, s.machines[target].name)
		for range crowdClients {
			clients.Go(func() {
				time.Sleep(rand.N(crowdRamp))
				s.stopShort(target, log, &bytesSent, until)
			})
		}
	}
	from := time.Now().Add(crowdSettling)
	time.Sleep(time.Until(from))
	for n := range callersCount {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * callersPause / callersCount)
			for time.Now().Before(until) {
				r := request{id: newID(), method: http.MethodPost, path: "/orders/1", deadline: time.Second, body: []byte("one")}
				at := time.Now()
				a := send(s.address(target, s.ports.front), r)
				rec.line("client %d: %s is answered %v", n, r.id, a)
				log.add(attempt{at, n, a.status != 0})
				time.Sleep(time.Until(at.Add(callersPause)))
			}
		})
	}
	ready, asked := 0, 0
	for time.Now().Before(until) {
		asked++
		if res, err := caller.Get("http://" + s.address(target, s.ports.readiness) + "/ready"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	clients.Wait()
	began, longest, callers := log.longestRefusal(from, until)
	rec.line("the clients without a key sent %.1f MB in %.0f s", float64(bytesSent.Load())/1e6, crowdTime.Seconds())
	rec.line("the gateway said %d of %d times that it is ready", ready, asked)
	rec.line("from %.1f s on, it took no new connection for %.1f s, in which %d ordinary clients tried", began.Sub(rec.began).Seconds(), longest.Seconds(), callers)
	if ready == asked && longest >= contactTime && callers >= 7 {
		return fmt.Errorf("%w: a gateway that said it is ready took no new connection for %.1f s, while %d ordinary clients tried", errBroken, longest.Seconds(), callers)
	}
	return nil
}

// stopShort sends a request without a key whose body stops short of its end, stays, and connects again once the connection has ended.
func (s *system) stopShort(i int, log *attemptLog, bytesSent *atomic.Int64, until time.Time) {
	for time.Now().Before(until) {
		at := time.Now()
		conn, err := net.DialTimeout("tcp", s.address(i, s.ports.front), time.Second)
		if err != nil {
			time.Sleep(crowdPause)
			continue
		}
		r := request{id: newID(), method: http.MethodPost, path: "/orders/1", deadline: 1500 * time.Millisecond, noKey: true}
		head := bytes.Replace(r.head(), []byte("Content-Length: 0"), fmt.Appendf(nil, "Content-Length: %d", crowdBody), 1)
		_ = conn.SetDeadline(until)
		written, _ := conn.Write(append(head, make([]byte, crowdBody-crowdMissing)...))
		bytesSent.Add(int64(written))
		n, _ := conn.Read(make([]byte, 1))
		log.add(attempt{at, -1, n > 0 || time.Since(at) >= takenAfter})
		_ = conn.Close()
		time.Sleep(crowdPause + rand.N(crowdPause))
	}
}
