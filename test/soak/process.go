package main

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// process is one running program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// startProcess starts a program whose output is appended to a file.
func startProcess(cmd *exec.Cmd, logFile string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt of the runner's group is not for the program
	if err := cmd.Start(); err != nil {
		return nil, errors.Trace(err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill ends the process and waits for its end. A suspended process ends too.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate asks the process to end, and kills it after the grace.
func (p *process) terminate(grace time.Duration) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.kill()
	}
}
