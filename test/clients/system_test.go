package clients_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Names on the wire of the users' platform.
const (
	headerID       = "Guavastack-Request-Id"
	headerDeadline = "Guavastack-Deadline-Ms"
	headerSeal     = "Guavastack-Server-Seal"
	headerServer   = "Guavastack-Instance-Id"

	hostname    = "clients.example"
	gatewayPath = "/orders/1"
	key         = "k7n2ctnfzs989anu6wsj"
	serviceName = "orders"
	serverName  = "i-1"
)

const (
	// awaitTimeout bounds how long a test waits for a state that must come.
	awaitTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// sendTimeout bounds how long a client sends.
	sendTimeout = 20 * time.Second
	// stayTime is how long clients stay connected after they have sent.
	stayTime = time.Second
	// requestTimeout bounds one ordinary request.
	requestTimeout = 15 * time.Second
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "guavastack")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/guavastack").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// system is a control member and a gateway as separate processes, and a stand-in of one backend server.
type system struct {
	t                *testing.T
	program          string
	control, gateway *process
	operatorAddress  string
	gatewayAddress   string
	backendAddress   string
	bodyBytes        int // limit of the catalog
	version          int // of the catalog
}

// process is one process of the system.
type process struct {
	cmd   *exec.Cmd
	log   string // file
	ended atomic.Bool
	done  chan struct{}
}

// newSystem starts a system and waits until it serves requests.
func newSystem(t *testing.T, bodyBytes, memoryMB int, d descriptors) *system {
	t.Helper()
	return newSystemOf(t, binary, bodyBytes, memoryMB, d)
}

// newSystemOf is newSystem with another program; "" means the one of the working directory.
func newSystemOf(t *testing.T, program string, bodyBytes, memoryMB int, d descriptors) *system {
	t.Helper()
	if program == "" {
		program = binary
	}
	a := freeAddresses(t, 4)
	s := &system{t: t, program: program, operatorAddress: a[1], gatewayAddress: a[2], backendAddress: a[3], bodyBytes: bodyBytes, version: 1}
	dir := t.TempDir()
	s.control = s.start(dir, "control", d, map[string]any{
		"id": "control-1", "zone": "a", "memory_limit_mb": memoryMB,
		"control": map[string]any{
			"member": 1, "group": 1, "listen": a[0], "operators": s.operatorAddress, "data": filepath.Join(dir, "data"),
			"peers": []any{map[string]any{"id": 1, "address": a[0]}},
		},
	})
	s.gateway = s.start(dir, "gateway", d, map[string]any{
		"id": "gateway-1", "zone": "a", "memory_limit_mb": memoryMB, "control_members": []string{a[0]},
		"gateway": map[string]any{"listen": s.gatewayAddress, "freshness_limit": "5s", "grace_period": "8s", "retry_ratio": 0.2},
	})
	s.startBackend()
	s.await("the first configuration", s.replaceConfiguration)
	s.expectAnswer(lengthHead(gatewayPath, 5), []byte("order"))
	return s
}

// freeAddresses returns loopback addresses whose ports are currently free.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }()
		addresses = append(addresses, lis.Addr().String())
	}
	return addresses
}

// start starts a process with a limit on its descriptors.
func (s *system) start(dir, role string, d descriptors, settings map[string]any) *process {
	s.t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(dir, role+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	p := &process{log: filepath.Join(dir, role+".log"), done: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command("/bin/sh", "-c", `ulimit -n "$1" && exec "$2" "$3" --config "$4"`, "sh", strconv.Itoa(d.limit), s.program, role, file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		p.ended.Store(true)
		close(p.done)
	}()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if data, _ := os.ReadFile(p.log); s.t.Failed() {
			s.t.Logf("log of the %s:\n%s", role, data[max(0, len(data)-2000):])
		}
	})
	return p
}

// startBackend starts the stand-in of the backend server and its heartbeats.
func (s *system) startBackend() {
	lis, err := net.Listen("tcp", s.backendAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(answerOrder), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(lis) }()
	stop := make(chan struct{})
	s.t.Cleanup(func() {
		close(stop)
		_ = server.Close()
	})
	go s.sendHeartbeats(stop)
}

var seals atomic.Int64

// answerOrder answers a request as a backend server does.
func answerOrder(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(headerServer, serverName)
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerSeal, fmt.Sprintf("seal.%s.%d", serverName, seals.Add(1)))
	_, _ = io.WriteString(w, "done")
}

func (s *system) sendHeartbeats(stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": s.backendAddress, "zone": "a", "version": "v1", "slots": 32, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": born,
		})
		_, _ = s.callOperators("/Instances.Heartbeat/"+serverName, body)
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *system) callOperators(path string, body []byte) (status int, err error) {
	res, err := operatorClient.Post("http://"+s.operatorAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = res.Body.Close()
	return res.StatusCode, nil
}

// replaceConfiguration sends the catalog of the current version, and reports whether it was accepted.
func (s *system) replaceConfiguration() bool {
	body, _ := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []any{map[string]any{
			"name": "orders", "hostname": hostname, "pathPrefix": "/orders/", "kind": "unsafe", "timeoutMs": 10000, "targetLatencyMs": 300,
			"priority": 1, "service": serviceName, "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConnections": 120, "protocol": "h1"}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeadBytes, "maxBodyBytes": s.bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "shop", "apiKeys": []string{key}, "priority": 1}},
	})
	status, err := s.callOperators("/Config.Replace", body)
	return err == nil && status == http.StatusOK
}

func (s *system) await(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(awaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) || s.control.ended.Load() || s.gateway.ended.Load() {
			s.t.Fatalf("%s did not come; control member ended: %t, gateway ended: %t", what, s.control.ended.Load(), s.gateway.ended.Load())
		}
	}
}

// expectAnswer waits until an ordinary request is answered.
func (s *system) expectAnswer(head, body []byte) {
	s.t.Helper()
	s.await("an answer to an ordinary request", func() bool {
		status, err := s.request(head, body)
		return err == nil && status == http.StatusOK
	})
}

// request sends a request to the gateway on a connection of its own and returns the status of its answer.
func (s *system) request(head, body []byte) (status int, err error) {
	conn, err := net.DialTimeout("tcp", s.gatewayAddress, requestTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := conn.Write(append(bytes.Clone(head), body...)); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// connectClients connects a group of clients to a process until all clients have sent what they send, and checks the process meanwhile.
func (s *system) connectClients(p *process, address string, c clientGroup) {
	s.t.Helper()
	before := p.peakMemory(s.t)
	leave := make(chan struct{})
	var sending, clients sync.WaitGroup
	for range c.clients {
		sending.Add(1)
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				sending.Done()
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = c.send(conn) // the process may close the connection
			sending.Done()
			<-leave
		})
	}
	finished := make(chan struct{})
	go func() {
		sending.Wait()
		time.Sleep(stayTime)
		close(finished)
	}()
	most := 0
	for isFinished := false; !isFinished; {
		select {
		case <-finished:
			isFinished = true
		case <-time.After(pollInterval):
		}
		most = max(most, p.openDescriptors(s.t))
	}
	peak := p.peakMemory(s.t)
	close(leave)
	clients.Wait()
	s.t.Logf("%d clients: peak of resident memory %d MiB, %d MiB before; at most %d descriptors", c.clients, peak>>20, before>>20, most)
	if p.ended.Load() {
		s.t.Error("the process has ended")
	}
	if peak > memoryLimitMB<<20 {
		s.t.Errorf("peak of resident memory %d MiB, want at most %d MiB", peak>>20, memoryLimitMB)
	}
	if most > c.descriptors.bound {
		s.t.Errorf("%d open descriptors, want at most %d", most, c.descriptors.bound)
	}
}

// peakMemory returns the peak of the resident memory of a process in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM: the process has ended")
	return 0
}

// openDescriptors returns the number of open descriptors of a process.
func (p *process) openDescriptors(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}
