package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/settingstemplate"
)

// Roles of the programs, which are also the names of their templates.
const (
	roleControl = "control"
	roleGateway = "gateway"
)

// machine is one machine, which is a loopback address.
type machine struct {
	name, ip, zone string
	hasDisk        bool
	initial        bool // it is there from the first start
	bootstrap      bool // of its next start
	roles          []string
	added, removed time.Time // removed is zero while it is one of the operator's machines
}

// system runs the processes of one run.
type system struct {
	plan    Plan
	program program
	dir     string // temporary: settings, logs and data
	network string // first three bytes of the addresses
	lock    net.Listener
	record  *record

	mu        sync.Mutex
	members   map[int]*machine // by number
	instances []*machine
	machines  []*machine // all, in the order in which they were added
	first     []*machine // that the first settings name
	procs     map[string]*process
	isClosed  bool
}

// newSystem takes a range of addresses and makes the machines of the first start.
func newSystem(plan Plan, p program, rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &system{plan: plan, program: p, dir: dir, record: rec, members: make(map[int]*machine), procs: make(map[string]*process)}
	if err := s.takeNetwork(); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	for i := range plan.Members {
		m := s.addMember(i + 1)
		m.initial, m.bootstrap = true, true
	}
	s.first = slices.Clone(s.machines[:min(seedCount, plan.Members)])
	for i := range plan.Instances {
		m := s.addMachine(fmt.Sprintf("instance-%d", i+1), i, roleControl, roleGateway)
		m.initial, m.bootstrap = true, true
		s.instances = append(s.instances, m)
	}
	return s, nil
}

// takeNetwork finds a range of addresses that no other run uses: a run holds a listener in its range until it ends.
func (s *system) takeNetwork() error {
	const attempts = 50
	var last error
	for range attempts {
		s.network = fmt.Sprintf("127.%d.%d", 222+rand.IntN(32), rand.IntN(256))
		lis, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", s.network, lockPort))
		if err == nil {
			s.lock = lis
			return nil
		}
		last = err
	}
	return errors.Annotate(last, "no free range of addresses")
}

func (s *system) addMember(number int) *machine {
	m := s.addMachine(fmt.Sprintf("control-%d", number), number-1, roleControl)
	m.hasDisk = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[number] = m
	return m
}

func (s *system) addMachine(name string, index int, roles ...string) *machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &machine{
		name: name, ip: fmt.Sprintf("%s.%d", s.network, len(s.machines)+1), zone: fmt.Sprintf("zone-%c", 'a'+index%3),
		roles: roles, added: time.Now(),
	}
	s.machines = append(s.machines, m)
	return m
}

// remove takes a machine off the operator's list.
func (s *system) remove(m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.removed = time.Now()
}

func (s *system) member(number int) *machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[number]
}

// listed returns the machines of the operator's list, which lags.
func (s *system) listed(now time.Time) []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := now.Add(-listLag)
	var out []*machine
	for _, m := range s.machines {
		if (m.initial || m.added.Before(asOf)) && (m.removed.IsZero() || m.removed.After(asOf)) {
			out = append(out, m)
		}
	}
	return out
}

// current returns the machines that are the operator's now.
func (s *system) current() []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.machines), func(m *machine) bool { return !m.removed.IsZero() })
}

// startMachine starts the processes of a machine with settings rendered now.
func (s *system) startMachine(m *machine) error {
	for _, role := range m.roles {
		if err := s.start(m, role); err != nil {
			return errors.Annotatef(err, "%s on %s", role, m.name)
		}
	}
	m.bootstrap = false
	s.record.event("start", m.name)
	return nil
}

func (s *system) start(m *machine, role string) error {
	text, err := settingstemplate.Render(s.program.templates[role], s.settings(m))
	if err != nil {
		return err
	}
	if m.hasDisk {
		if err := os.MkdirAll(s.dataDir(m), 0o700); err != nil {
			return errors.Trace(err)
		}
	}
	key := role + "-" + m.name
	file := filepath.Join(s.dir, key+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Trace(err)
	}
	cmd := exec.Command(s.program.binary, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVASTACK_CONFIG=" + file}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return errors.New("the run has ended")
	}
	p, err := startProcess(cmd, filepath.Join(s.dir, key+".log"))
	if err == nil {
		s.procs[key] = p
	}
	return err
}

// processes returns the processes of a machine.
func (s *system) processes(m *machine) []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*process
	for _, role := range m.roles {
		if p := s.procs[role+"-"+m.name]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// killMachine kills the processes of a machine.
func (s *system) killMachine(m *machine) {
	s.record.event("kill", m.name)
	for _, p := range s.processes(m) {
		p.kill()
	}
}

// terminateMachine stops the processes of a machine as planned.
func (s *system) terminateMachine(m *machine) {
	s.record.event("terminate", m.name)
	for _, p := range s.processes(m) {
		p.terminate(graceTime)
	}
	s.record.event("ended", m.name)
}

// emptyDisk deletes the data of a machine that doesn't run.
func (s *system) emptyDisk(m *machine) error {
	s.record.event("empty", m.name)
	return errors.Trace(os.RemoveAll(s.dataDir(m)))
}

// pause suspends a machine for a time.
func (s *system) pause(m *machine, length time.Duration) {
	s.record.event("pause", m.name)
	for _, p := range s.processes(m) {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(length)
	for _, p := range s.processes(m) {
		p.signal(syscall.SIGCONT)
	}
	s.record.event("resume", m.name)
}

// killAll kills all processes at once.
func (s *system) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.procs {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.procs {
		<-p.done
	}
}

// close ends all processes. No process starts afterwards.
func (s *system) close() {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.killAll()
	_ = s.lock.Close()
}

// deleteFiles deletes the temporary files.
func (s *system) deleteFiles() { _ = os.RemoveAll(s.dir) }
