package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Names on the wire.
const (
	headerID       = "Guavastack-Request-Id"
	headerDeadline = "Guavastack-Deadline-Ms"
	headerSeal     = "Guavastack-Server-Seal"
	headerInstance = "Guavastack-Instance-Id"
	headerExpect   = "Guavastack-Expect-Instance"
	headerNotRun   = "Guavastack-Not-Executed"

	hostname = "review.example"
	key      = "k7n2ctnfzs989anu6wsj"
	tenant   = "shop"
)

// route is a route of the configuration.
type route struct {
	Name       string `json:"name"`
	Hostname   string `json:"hostname"`
	PathPrefix string `json:"pathPrefix"`
	Kind       string `json:"kind"`
	TimeoutMS  int    `json:"timeoutMs"`
	TargetMS   int    `json:"targetLatencyMs"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"maxAttempts"`
	Public     bool   `json:"public"`
	Sticky     bool   `json:"sticky"`
	Resume     bool   `json:"streamResume"`
	GapMS      int    `json:"gapTargetMs,omitempty"`
}

// configuration is what an operator sends.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// newConfiguration returns a configuration with the given routes and the services that they name.
func newConfiguration(version int, routes ...route) configuration {
	c := configuration{
		Version: version, Routes: routes,
		Limits:  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []map[string]any{{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	}
	known := make(map[string]bool)
	for _, r := range routes {
		if known[r.Service] {
			continue
		}
		known[r.Service] = true
		c.Services = append(c.Services, map[string]any{"name": r.Service, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false})
	}
	return c
}

// caller makes calls to control members with a connection of its own for each.
var caller = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// callControl sends a call to the control member of machine i.
func (s *system) callControl(ctx context.Context, i int, method, path string, body any) (status int, answer []byte, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.address(i, s.ports.control)+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := caller.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(res.Body, 8<<20))
	return res.StatusCode, answer, err
}

// controlMembers returns the numbers of the machines that serve control.
func (s *system) controlMembers() (out []int) {
	for i, m := range s.machines {
		if m.hasDisk {
			out = append(out, i)
		}
	}
	return out
}

// callAnyControl calls one control member after another until one answers with a status below 500.
func (s *system) callAnyControl(ctx context.Context, method, path string, body any) (status int, answer []byte, err error) {
	members := s.controlMembers()
	if len(members) == 0 {
		return 0, nil, errors.New("no control member")
	}
	for first := time.Now().Nanosecond(); ; {
		for n := range members {
			status, answer, err = s.callControl(ctx, members[(first+n)%len(members)], method, path, body)
			if err == nil && status < 500 {
				return status, answer, nil
			}
			if ctx.Err() != nil {
				return status, answer, ctx.Err()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// configure sends a configuration until it is acknowledged.
func (s *system) configure(c configuration, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	status, _, err := s.callAnyControl(ctx, http.MethodPost, "/Config.Replace", c)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", c.Version, err)
	}
	s.record.line("operator: configuration %d is answered %d", c.Version, status)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d is answered %d", c.Version, status)
	}
	return nil
}

// awaitReady waits until the gateway of machine i says that it is ready.
func (s *system) awaitReady(i int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := caller.Get("http://" + s.address(i, s.ports.readiness) + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the gateway of %s did not become ready", s.machines[i].name)
}

var requestNumber atomic.Int64

// newID returns the id of a request.
func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(requestNumber.Add(1)))
}

// request is a request of a client.
type request struct {
	id, method, path string
	deadline         time.Duration
	headers          string // further lines, each with its end
	body             []byte
	noKey            bool
}

func (r request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, hostname, headerID, r.id, headerDeadline, r.deadline.Milliseconds())
	if !r.noKey {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", key)
	}
	b.WriteString(r.headers)
	if len(r.body) > 0 || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // the answer did not come or is not complete
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	text := fmt.Sprintf("%d, seal %q, %d bytes", a.status, a.header.Get(headerSeal), len(a.body))
	if a.err != nil {
		text += fmt.Sprintf(", not complete (%v)", a.err)
	}
	return text
}

// send sends a request on a new connection and reads its answer.
func send(address string, r request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := conn.Write(append(r.head(), r.body...)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), r.method)
}

func readAnswer(from *bufio.Reader, method string) answer {
	res, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: body, err: err}
}
