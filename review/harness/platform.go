package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// platform is a stand-in of the platform's interface, which accepts usage reports.
type platform struct {
	rec *record
	lis net.Listener

	mu    sync.Mutex
	calls []platformCall
}

// platformCall is one usage report that the platform got.
type platformCall struct {
	at     time.Time
	holder string
	token  int
	window int
}

func (s *system) startPlatform() (*platform, error) {
	lis, err := net.Listen("tcp", s.newIP()+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: s.rec, lis: lis}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", p.usage)
	go func() { _ = http.Serve(lis, mux) }()
	return p, nil
}

func (p *platform) usage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int            `json:"windowId"`
		Counts   map[string]int `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := platformCall{at: time.Now(), holder: r.Header.Get("Guavastack-Duty-Holder"), window: body.WindowID}
	call.token, _ = strconv.Atoi(r.Header.Get("Guavastack-Fence-Token"))
	p.mu.Lock()
	p.calls = append(p.calls, call)
	p.mu.Unlock()
	p.rec.printf("platform: usage of window %d, counts %v, from %s with fencing token %d", call.window, body.Counts, call.holder, call.token)
}

// all returns the calls so far, in the order of their arrival.
func (p *platform) all() []platformCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]platformCall(nil), p.calls...)
}

// uplink is the network between one machine and the platform. While it is cut, nothing passes: connections can't be opened, and
// what is sent on open ones is held up by the sender's TCP, which sends it again at times that double, and so also after the sender
// has closed the connection, unless it has reset it.
type uplink struct {
	rec    *record
	name   string
	target string
	addr   string

	mu     sync.Mutex
	lis    net.Listener
	isCut  bool
	healed chan struct{} // closed when the cut ends
}

func (s *system) startUplink(name, target string) (*uplink, error) {
	u := &uplink{rec: s.rec, name: name, target: target, addr: s.newIP() + ":8090"}
	return u, u.listen()
}

func (u *uplink) listen() error {
	lis, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.lis = lis
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go u.forward(conn)
		}
	}()
	return nil
}

// cut begins a cut.
func (u *uplink) cut() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rec.printf("the path from %s to the platform is cut", u.name)
	u.isCut, u.healed = true, make(chan struct{})
	_ = u.lis.Close()
}

// heal ends the cut.
func (u *uplink) heal() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rec.printf("the path from %s to the platform has healed", u.name)
	u.isCut = false
	close(u.healed)
	return u.listen()
}

// forward copies what one connection sends to the platform, and back.
func (u *uplink) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	out, err := net.Dial("tcp", u.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		u.pipe(conn, out, "the platform")
		_ = conn.Close()
	}()
	u.pipe(out, conn, u.name)
}

// pipe copies from one end to the other until the sender closes the connection. A reset loses what was held up.
func (u *uplink) pipe(to, from net.Conn, sender string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if u.holdUp(n, sender) && isReset(from) {
				u.rec.printf("the %d bytes of %s are lost, it has reset the connection", n, sender)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// isReset reports whether the other end has reset a connection. It sends nothing after a request until it is answered, so no data
// is lost.
func isReset(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNRESET)
}

// firstTimeout is the shortest time after which TCP sends data again. It doubles each time.
const firstTimeout = 200 * time.Millisecond

// holdUp waits during a cut until the first retransmission that gets through, and reports whether it has.
func (u *uplink) holdUp(n int, sender string) bool {
	u.mu.Lock()
	isCut, healed := u.isCut, u.healed
	u.mu.Unlock()
	if !isCut {
		return false
	}
	sent := time.Now()
	u.rec.printf("%d bytes of %s are held up by the cut", n, sender)
	<-healed
	at := sent
	for timeout := firstTimeout; at.Before(time.Now()); timeout *= 2 {
		at = at.Add(timeout)
	}
	time.Sleep(time.Until(at))
	u.rec.printf("TCP sends the %d bytes of %s again, %v after the first time", n, sender, time.Since(sent).Round(time.Millisecond))
	return true
}
