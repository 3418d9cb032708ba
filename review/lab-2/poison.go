package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["poison"] = runPoison }

const (
	// poisonPart crashes each server that begins to write an answer on it. Sound requests share the first part of the prompt.
	poisonPart = "5c1e07a2"
	firstPart  = "91bd3f06"

	poisonServers = 12
	poisonFirst   = 4 * time.Second  // until the first request with the part
	poisonGap     = 4 * time.Second  // between two such requests
	poisonTime    = 45 * time.Second // in which they come
	serverDown    = 3 * time.Second  // until a server that crashed is back
	firstEvent    = 20 * time.Millisecond
	contactTime   = 3 * time.Second // contactMs of the sheet
	allowedAfter  = 3               // requests that may reach servers later than contactTime after the fifth crash
)

// poisonWorld records the crashes, and the requests with the part that reached a server.
type poisonWorld struct {
	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time
}

func runPoison(root string, rec *record, trouble bool) error {
	world := &poisonWorld{}
	query := route{
		Name: "query", Hostname: hostname, PathPrefix: "/query/", Kind: "streaming", TimeoutMS: 3000, TargetMS: 400, Priority: 1,
		Service: "assistant", Attempts: 2, Sticky: true, Resume: true, GapMS: 300,
	}
	c := newConfiguration(1, query)
	c.Services[0]["engine"] = map[string]any{
		"slots": 64, "kvCapacity": 350243, "kvTokenBytes": 35136, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 6, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
	}
	var servers []*standin
	for i := range poisonServers {
		servers = append(servers, newStandin(nil, "assistant", zoneNames[i%len(zoneNames)], "", 64, world.answer))
	}
	s, err := startSmall(root, rec, 4, servers, c)
	if err != nil {
		return err
	}
	defer s.close()
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var sound, served atomic.Int64
	until := time.Now().Add(poisonFirst + poisonTime)
	clients.Go(func() { // sound requests share the key and the first part
		for time.Now().Before(until) {
			clients.Go(func() {
				sound.Add(1)
				if s.stream(fmt.Sprintf("%s:341,%08x:227", firstPart, rand.Uint32()), false) {
					served.Add(1)
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(poisonFirst)
	for trouble && time.Now().Before(until) {
		clients.Go(func() { s.stream(fmt.Sprintf("%s:341,%s:120,%08x:107", firstPart, poisonPart, rand.Uint32()), true) })
		time.Sleep(poisonGap)
	}
	clients.Wait()
	rec.line("%d of %d sound requests were served", served.Load(), sound.Load())
	if int(served.Load())*2 < int(sound.Load()) {
		return fmt.Errorf("%d of %d sound requests were served", served.Load(), sound.Load())
	}
	return world.check(rec)
}

// check compares the requests that reached a server with the rule.
func (w *poisonWorld) check(rec *record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.line("%d requests with the part reached a server, %d crashes", len(w.reached), len(w.crashes))
	if len(w.crashes) < 5 {
		return nil
	}
	from := w.crashes[4].Add(contactTime)
	late := 0
	for _, at := range w.reached {
		if at.After(from) {
			late++
		}
	}
	rec.line("%d of them later than %v after the fifth crash; %d are allowed", late, contactTime, allowedAfter)
	if late > allowedAfter {
		return fmt.Errorf("%w: %d requests with a part that crashes servers reached servers later than %v after the fifth crash", errBroken, late, contactTime)
	}
	return nil
}

// answer writes a stream of four events. On a request with the part, the server crashes when it has begun to write the answer.
func (w *poisonWorld) answer(b *standin, out http.ResponseWriter, r *http.Request) {
	id, isPoison := r.Header.Get(headerID), strings.Contains(r.Header.Get("Guavastack-Prompt-Prefix"), poisonPart)
	if isPoison {
		w.mu.Lock()
		w.reached = append(w.reached, time.Now())
		w.mu.Unlock()
		b.sys.record.line("server %s runs %s, which has the part", b.name(), id)
	}
	out.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for n := first; n <= 4; n++ {
		time.Sleep(firstEvent)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: event %d of the answer\n\n", n, n)
		_ = http.NewResponseController(out).Flush()
		if isPoison {
			time.Sleep(2 * time.Millisecond) // the event leaves before the crash
			w.mu.Lock()
			w.crashes = append(w.crashes, time.Now())
			count := len(w.crashes)
			w.mu.Unlock()
			b.sys.record.line("server %s crashes on %s; crash %d", b.name(), id, count)
			b.crash()
			time.AfterFunc(serverDown, func() { _ = b.start() })
			return
		}
	}
}

// stream sends a request for a stream to any gateway and, if the stream breaks, resumes it once at another one, as its route allows. It
// reports whether the whole stream came.
func (s *system) stream(parts string, isPoison bool) bool {
	first := rand.IntN(len(s.machines))
	last := ""
	for try := range 2 {
		r := request{
			id: newID(), method: http.MethodPost, path: "/query/1", deadline: 3 * time.Second, body: []byte("question"),
			headers: "Guavastack-Model: m\r\nGuavastack-Token-Count: 568,24\r\nGuavastack-Prompt-Prefix: " + parts + "\r\n",
		}
		if last != "" {
			r.headers += "Last-Event-Id: " + last + "\r\n"
		}
		m := (first + try) % len(s.machines)
		if isPoison {
			s.record.line("client sends %s with the part to %s", r.id, s.machines[m].name)
		}
		a := send(s.address(m, s.ports.front), r)
		if isPoison {
			s.record.line("client: %s is answered %v", r.id, a)
		}
		if a.status == http.StatusOK && a.err == nil {
			return true
		}
		if at := bytes.LastIndex(a.body, []byte("id: ")); at >= 0 {
			last, _, _ = strings.Cut(string(a.body[at+4:]), "\n")
		}
		if a.status == http.StatusServiceUnavailable {
			return false
		}
	}
	return false
}
