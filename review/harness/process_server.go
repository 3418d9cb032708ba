package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
)

// runServerProcess runs a backend server in this process until its standard input ends. Each line of the input is a command.
func runServerProcess(args []string) int {
	var cfg serverConfig
	if len(args) != 1 || json.Unmarshal([]byte(args[0]), &cfg) != nil {
		fmt.Fprintln(os.Stderr, "usage: harness server SETTINGS")
		return exitCannot
	}
	var mu sync.Mutex
	log := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	s, err := startServer(cfg, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		if in.Text() == "drain" {
			if _, err := s.drain(); err != nil {
				log("%v", err)
			}
		}
	}
	s.close()
	return exitHeld
}

// serverProcess is a backend server in a process of its own.
type serverProcess struct {
	*process
	commands io.Writer
	lines    chan string // what it writes
}

// startServerProcess starts a backend server in a process of its own. What it writes goes to the record.
func (s *system) startServerProcess(cfg serverConfig) (*serverProcess, error) {
	settings, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "server", string(settings))
	in, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = out, out
	commands, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	p, err := s.startProcess("server "+cfg.ID, cmd)
	_ = out.Close()
	if err != nil {
		return nil, err
	}
	sp := &serverProcess{process: p, commands: commands, lines: make(chan string, 1000)}
	go func() {
		for scan := bufio.NewScanner(in); scan.Scan(); {
			s.rec.printf("%s", scan.Text())
			sp.lines <- scan.Text()
		}
		close(sp.lines)
	}()
	return sp, nil
}
