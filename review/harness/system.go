package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sigTERM asks a process to stop.
const sigTERM = syscall.SIGTERM

// Bounds of a small deployment of the users' pages.
const (
	contact      = 3000 * time.Millisecond
	catchUp      = 4 * time.Second
	recovery     = 12 * time.Second
	drainBound   = 2000 * time.Millisecond
	thawSlack    = 300 * time.Millisecond
	leaseSpacing = 3000 * time.Millisecond
	windowLength = 5 * time.Second
	graceSeconds = 8
)

// ports are the same on all machines.
type ports struct{ operators, internal, front, readiness int }

// machine is one machine, which is a loopback address.
type machine struct {
	name, ip  string
	zone      string
	hasDisk   bool
	bootstrap bool
	platform  string // address of the platform's interface as this machine reaches it
}

// system runs the programs of the project and whatever stands around them.
type system struct {
	rec    *record
	root   string // of the repository
	dir    string // temporary
	net    string // first three bytes of the machines' addresses
	ports  ports
	seeds  []string
	lastIP int

	mu    sync.Mutex
	procs []*process
}

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

func newSystem(rec *record) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	for _, file := range []string{"target/guavastack", "deploy/control.json.tmpl", "deploy/gateway.json.tmpl"} {
		if _, err := os.Stat(filepath.Join(root, file)); err != nil {
			return nil, fmt.Errorf("run in the root of the repository, after the build: %w", err)
		}
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, root: root, dir: dir, net: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))}
	free, err := freePorts(s.net+"1", 4)
	if err != nil {
		return nil, err
	}
	s.ports = ports{operators: free[0], internal: free[1], front: free[2], readiness: free[3]}
	return s, nil
}

// freePorts returns n free ports at an address.
func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for range n {
		lis, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = lis.Close() }()
		out = append(out, lis.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// newIP returns an address that no other machine of the run has.
func (s *system) newIP() string {
	s.lastIP++
	return fmt.Sprintf("%s%d", s.net, s.lastIP)
}

func (s *system) operatorAddress(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, s.ports.operators)
}

func (s *system) frontAddress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, s.ports.front) }

// newMachines returns machines, of which the first start as the seeds.
func (s *system) newMachines(prefix string, n int, platform string) []*machine {
	var out []*machine
	for i := range n {
		m := &machine{name: fmt.Sprintf("%s-%d", prefix, i+1), ip: s.newIP(), zone: fmt.Sprintf("zone-%c", 'a'+i%3), hasDisk: true, bootstrap: true, platform: platform}
		out = append(out, m)
		s.seeds = append(s.seeds, s.operatorAddress(m))
	}
	return out
}

// settings returns the fields of a machine's settings.
func (s *system) settings(m *machine) fields {
	f := fields{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone, "seeds": s.seeds,
		"internalPorts": []any{s.ports.internal, s.ports.internal},
		"limits":        fields{"memoryMb": 134},
		"bootstrap":     m.bootstrap,
		"listen": fields{
			"control": s.operatorAddress(m), "front": s.frontAddress(m), "readiness": fmt.Sprintf("%s:%d", m.ip, s.ports.readiness),
		},
		"bounds": fields{
			"reportWindowS": int(windowLength.Seconds()), "leaseMs": leaseSpacing.Milliseconds(), "revokeMs": 5000, "configApplyMs": 2000,
			"graceS": graceSeconds, "retryBudgetRatio": 0.2,
		},
	}
	if m.hasDisk {
		f["dataDir"] = filepath.Join(s.dir, m.name)
	}
	if m.platform != "" {
		f["cloudApi"] = fields{"address": m.platform}
	}
	return f
}

// start starts a role of the deploy file on a machine.
func (s *system) start(role string, m *machine) (*process, error) {
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", role+".json.tmpl"))
	if err != nil {
		return nil, err
	}
	text, err := render(string(template), s.settings(m))
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, role+"-"+m.name+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(s.root, "target/guavastack"), role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVASTACK_CONFIG=" + file}
	return s.startProcess(role+" on "+m.name, cmd)
}

// startProcess starts a program whose output goes to a file in the temporary folder, unless cmd has one already.
func (s *system) startProcess(name string, cmd *exec.Cmd) (*process, error) {
	if cmd.Stdout == nil {
		log, err := os.OpenFile(filepath.Join(s.dir, strings.ReplaceAll(name, " ", "-")+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer func() { _ = log.Close() }()
		cmd.Stdout, cmd.Stderr = log, log
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	s.rec.printf("started %s (process %d)", name, cmd.Process.Pid)
	return p, nil
}

// signal sends a signal to a process that the case started.
func (s *system) signal(p *process, sig syscall.Signal) {
	s.rec.printf("%v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
}

// kill kills a process and waits for its end.
func (s *system) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.done
}

// close ends all processes and deletes the temporary folder.
func (s *system) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.procs {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") != "" {
		s.rec.printf("kept %s", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// sleep waits, or returns an error when the time of the case is over.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.New("the time of the case is over")
	}
}

// until waits for a condition.
func until(ctx context.Context, what string, limit time.Duration, f func() bool) error {
	for end := time.Now().Add(limit); !f(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// processOf returns the newest process with the given name.
func (s *system) processOf(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.procs) - 1; i >= 0; i-- {
		if s.procs[i].name == name {
			return s.procs[i]
		}
	}
	return nil
}

// stop sends SIGTERM to the control program of a machine, and SIGKILL if it hasn't ended after the grace period.
func (s *system) stop(ctx context.Context, m *machine) error {
	p := s.processOf("control on " + m.name)
	s.signal(p, syscall.SIGTERM)
	select {
	case <-p.done:
		s.rec.printf("%s has ended", p.name)
	case <-time.After(graceSeconds * time.Second):
		s.kill(p)
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (s *system) operatorAddresses(machines []*machine) []string {
	var out []string
	for _, m := range machines {
		out = append(out, s.operatorAddress(m))
	}
	return out
}
