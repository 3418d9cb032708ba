package main

import (
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

// The deployment of the cases: figures of the sheet of Camurça Lusitana.
const (
	memoryMB    = 134
	descriptors = 4100
	graceTime   = 8 * time.Second
)

// bounds are the bounds of the same sheet that the templates use.
var bounds = fields{"revokeMs": 5000, "configApplyMs": 2000, "graceS": 8, "reportWindowS": 5, "retryBudgetRatio": 0.2, "leaseMs": 3000}

// zones are the availability zones of the same sheet.
var zones = map[string]string{"porto-a": "pt-norte", "porto-b": "pt-norte", "braga-a": "pt-norte", "guimaraes-a": "pt-norte"}

var zoneNames = []string{"porto-a", "porto-b", "braga-a", "guimaraes-a"}

// machine is one machine: a loopback address with a gateway, and with a control member if it has a disk.
type machine struct {
	name, ip, zone string
	hasDisk        bool
	started        bool
}

// process is one process of the system.
type process struct {
	role string
	m    *machine
	cmd  *exec.Cmd
	done chan struct{}
}

// system runs the processes of one case.
type system struct {
	root     string // of the repository
	dir      string // settings, logs and data
	network  string // first three bytes of the addresses
	lock     net.Listener
	ports    portSet
	machines []*machine
	platform string // address of the platform's API, empty: none
	record   *record

	mu    sync.Mutex
	procs map[string]*process
}

// portSet are the ports of the deployment, the same on all machines.
type portSet struct{ front, readiness, control, internal, cloud int }

// newSystem prepares machines, of which the first withDisk have a disk. Nothing is started.
func newSystem(root string, rec *record, count, withDisk int) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{
		root: root, dir: dir, record: rec, procs: make(map[string]*process),
		ports: portSet{front: 8227, readiness: 8220, control: 8229, internal: 7340, cloud: 8223},
	}
	if err := s.takeNetwork(); err != nil {
		return nil, err
	}
	for i := range count {
		zone := zoneNames[i%len(zoneNames)]
		s.machines = append(s.machines, &machine{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zoneNames)+1), ip: fmt.Sprintf("%s.%d", s.network, i+1), zone: zone, hasDisk: i < withDisk,
		})
	}
	return s, nil
}

// checkDescriptors returns an error unless this process may open n descriptors.
func checkDescriptors(n uint64) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < n {
		return fmt.Errorf("%d descriptors are needed, %d are allowed", n, limit.Cur)
	}
	return nil
}

// takeNetwork finds a range of loopback addresses that no other case uses, and keeps a listener in it.
func (s *system) takeNetwork() error {
	var last error
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256))
		lis, err := net.Listen("tcp", s.network+".254:8299")
		if err == nil {
			s.lock = lis
			return nil
		}
		last = err
	}
	return fmt.Errorf("no free range of loopback addresses: %w", last)
}

// address returns the address of a port of machine i.
func (s *system) address(i, port int) string { return fmt.Sprintf("%s:%d", s.machines[i].ip, port) }

func (s *system) settings(m *machine, role string) fields {
	var seeds []string
	for _, other := range s.machines {
		if other.hasDisk && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, s.ports.control))
		}
	}
	f := fields{
		"nodeName": m.name, "role": role, "machineClass": "front", "ip": m.ip, "zone": m.zone, "region": "pt-norte",
		"internalPorts": []int{s.ports.internal, s.ports.internal + 15}, "seeds": seeds, "bootstrap": !m.started, "lossCounts": m.hasDisk,
		"zones": zones, "bounds": bounds,
		"listen": fields{
			"front": fmt.Sprintf("%s:%d", m.ip, s.ports.front), "readiness": fmt.Sprintf("%s:%d", m.ip, s.ports.readiness),
			"control": fmt.Sprintf("%s:%d", m.ip, s.ports.control),
		},
		"limits":         fields{"memoryMb": memoryMB, "maxFds": descriptors},
		"faultTolerance": fields{"machines": 1},
	}
	if m.hasDisk {
		f["dataDir"] = filepath.Join(s.dir, "data-"+m.name)
	}
	if s.platform != "" {
		f["cloudApi"] = fields{"address": s.platform}
	}
	return f
}

// start starts the processes of machine i that its deploy file names.
func (s *system) start(i int) error {
	m := s.machines[i]
	if err := s.startRole(m, "control"); err != nil {
		return err
	}
	if err := s.startRole(m, "gateway"); err != nil {
		return err
	}
	m.started = true
	s.record.line("start %s at %s", m.name, m.ip)
	return nil
}

func (s *system) startRole(m *machine, role string) error {
	if role == "control" && !m.hasDisk {
		return nil
	}
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", role+".json.tmpl"))
	if err != nil {
		return err
	}
	f := s.settings(m, role)
	text, err := render(string(template), f)
	if err != nil {
		return err
	}
	if m.hasDisk {
		if err := os.MkdirAll(f["dataDir"].(string), 0o700); err != nil {
			return err
		}
	}
	name := role + "-" + m.name
	file := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	// The shell only sets the limit of descriptors that the sheet states.
	cmd := exec.Command("/bin/sh", "-c", `ulimit -n "$1" && exec "$2" "$3"`, "sh", fmt.Sprint(descriptors), filepath.Join(s.root, "target", "guavastack"), role)
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVASTACK_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{role: role, m: m, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	s.procs[name] = p
	s.mu.Unlock()
	return nil
}

// process returns the process of a role on machine i.
func (s *system) process(role string, i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[role+"-"+s.machines[i].name]
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// memory returns the resident memory of a process and its peak, in bytes.
func (p *process) memory() (now, peak int64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		name, value, _ := strings.Cut(line, ":")
		var kilobytes int64
		_, _ = fmt.Sscan(value, &kilobytes)
		switch name {
		case "VmRSS":
			now = kilobytes << 10
		case "VmHWM":
			peak = kilobytes << 10
		}
	}
	if peak == 0 {
		return 0, 0, errors.New("the process has ended")
	}
	return now, peak, nil
}

// close kills all processes and deletes their files, unless KEEP is set.
func (s *system) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	_ = s.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}
