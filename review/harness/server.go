package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the time between a server's heartbeats.
const heartbeatInterval = 1200 * time.Millisecond

// serverConfig describes a stand-in of a backend server.
type serverConfig struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Address string        `json:"address"` // to listen on
	Zone    string        `json:"zone"`
	Slots   int           `json:"slots"`
	Control []string      `json:"control"` // addresses of the control machines
	Events  int           `json:"events"`  // of a stream
	Pause   time.Duration `json:"pause"`   // between two events
	// Unframed answers have no length and end with their connection.
	Unframed bool `json:"unframed"`
}

// server is a stand-in of a backend server: it sends heartbeats, and answers requests with event streams or short bodies.
type server struct {
	cfg  serverConfig
	log  func(format string, args ...any)
	born int64

	lis net.Listener

	mu       sync.Mutex
	state    string
	sequence int
	next     int // control machine to call next
	runs     map[string]*run
	conns    map[net.Conn]bool

	seals    atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
}

// run is one request at work.
type run struct {
	id   string
	conn net.Conn
	lost atomic.Bool // its answer is lost: the run goes on without its connection
	at   atomic.Int64
}

// startServer listens and registers.
func startServer(cfg serverConfig, log func(string, ...any)) (*server, error) {
	lis, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &server{
		cfg: cfg, log: log, born: time.Now().UnixMilli(), lis: lis, state: "ready",
		runs: make(map[string]*run), conns: make(map[net.Conn]bool), stop: make(chan struct{}),
	}
	go s.accept(lis)
	go s.beat()
	return s, nil
}

func (s *server) accept(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// closeListener refuses further connections. Requests at work go on.
func (s *server) closeListener() { _ = s.lis.Close() }

// close ends the server.
func (s *server) close() {
	s.closeListener()
	s.stopOnce.Do(func() { close(s.stop) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// beat sends heartbeats until the server ends.
func (s *server) beat() {
	for {
		s.heartbeat()
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (s *server) heartbeat() bool {
	s.mu.Lock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": s.cfg.Service, "address": s.cfg.Address, "zone": s.cfg.Zone, "version": "v1", "slots": s.cfg.Slots, "state": s.state,
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	return err == nil && s.report("/Instances.Heartbeat/"+s.cfg.ID, body)
}

// report makes a call at one control machine after another until one acknowledges it.
func (s *server) report(path string, body []byte) bool {
	s.mu.Lock()
	control := s.cfg.Control
	s.mu.Unlock()
	for range control {
		s.mu.Lock()
		address := control[s.next%len(control)]
		s.mu.Unlock()
		if status, _, err := callControl(http.MethodPost, address, path, body); err == nil && status/100 == 2 {
			return true
		}
		s.mu.Lock()
		s.next++
		s.mu.Unlock()
	}
	return false
}

// drain reports that the server is draining and returns the time of the acknowledgement.
func (s *server) drain() (time.Time, error) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for range 20 {
		if s.heartbeat() {
			s.log("server %s: draining, acknowledged", s.cfg.ID)
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("draining of %s not acknowledged", s.cfg.ID)
}

// deregister reports that the server leaves.
func (s *server) deregister() bool {
	body := fmt.Appendf(nil, `{"born":%d}`, s.born)
	ok := s.report("/Instances.Deregister/"+s.cfg.ID, body)
	s.log("server %s: deregistered, acknowledged %v", s.cfg.ID, ok)
	return ok
}

// serve answers the requests of one connection.
func (s *server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.answer(conn, req) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (s *server) answer(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("Guavastack-Request-Id")
	if req.URL.Path == healthPath {
		return s.write(conn, "HTTP/1.1 200 OK\r\nGuavastack-Instance-Id: "+s.cfg.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	if expected := req.Header.Get("Guavastack-Expect-Instance"); expected != "" && expected != s.cfg.ID {
		return s.write(conn, "HTTP/1.1 421 Misdirected Request\r\nGuavastack-Not-Executed: 1\r\nGuavastack-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	}
	if strings.HasPrefix(req.URL.Path, streamPath) {
		return s.answerStream(conn, req, id)
	}
	s.log("server %s: runs %s", s.cfg.ID, id)
	body := "done " + id
	return s.write(conn, "HTTP/1.1 200 OK\r\n"+s.head(id)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// head returns the headers that each answer of a run has.
func (s *server) head(id string) string {
	return fmt.Sprintf("Guavastack-Request-Id: %s\r\nGuavastack-Server-Seal: seal.%s.%d\r\n", id, s.cfg.ID, s.seals.Add(1))
}

// answerStream runs a request whose answer is a series of events.
func (s *server) answerStream(conn net.Conn, req *http.Request, id string) bool {
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r := &run{id: id, conn: conn}
	s.mu.Lock()
	s.runs[id] = r
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
	}()
	s.log("server %s: runs %s from event %d, Kv-From %q, Kv-Backup %q", s.cfg.ID, id, first+1, req.Header.Get("Kv-From"), req.Header.Get("Guavastack-Kv-Backup"))
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + s.head(id)
	if s.cfg.Unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	alive := s.write(conn, head+"\r\n")
	for event := first + 1; event <= s.cfg.Events; event++ {
		time.Sleep(s.cfg.Pause)
		r.at.Store(int64(event))
		if r.lost.Load() {
			continue // the run goes on, its answer is lost
		}
		text := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", event, id, event, s.cfg.Events)
		if !s.cfg.Unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if alive = alive && s.write(conn, text); !alive && !r.lost.Load() {
			s.log("server %s: drops %s at event %d, its connection is closed", s.cfg.ID, id, event)
			return false
		}
	}
	s.log("server %s: has run %s to its end, answer lost %v", s.cfg.ID, id, r.lost.Load())
	if s.cfg.Unframed || r.lost.Load() {
		return false
	}
	return s.write(conn, "0\r\n\r\n")
}

func (s *server) write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// loseAnswer resets the connection of a run, which goes on. It returns false if there is no such run.
func (s *server) loseAnswer(id string) bool {
	s.mu.Lock()
	r := s.runs[id]
	s.mu.Unlock()
	if r == nil {
		return false
	}
	r.lost.Store(true)
	s.log("server %s: loses the answer of %s after event %d, the run goes on", s.cfg.ID, id, r.at.Load())
	if tcp, ok := r.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = r.conn.Close()
	return true
}

// isRunning reports whether a run is at work.
func (s *server) isRunning(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] != nil
}

// setControl replaces the list of control machines.
func (s *server) setControl(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Control = addresses
}
