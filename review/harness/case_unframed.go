package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["unframed"] = crashAfterNotice }

// crashAfterNotice: a server whose answers have no length says that it leaves and is gone two seconds later, as when it is taken away
// at short notice. Its streams end in the middle.
func crashAfterNotice(ctx context.Context, s *system, trouble bool) (string, error) {
	const streams = 6
	members, front, err := s.startSmall(ctx)
	if err != nil {
		return "", err
	}
	backend, err := s.startServerProcess(serverConfig{
		ID: "i-1", Service: modelName, Address: fmt.Sprintf("%s:8080", s.newIP()), Zone: "zone-a", Slots: 48,
		Control: s.operatorAddresses(members), Events: 60, Pause: 100 * time.Millisecond, Unframed: true,
	})
	if err != nil {
		return "", err
	}
	if err := s.awaitRoute(ctx, front, streamPath); err != nil {
		return "", err
	}
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = requestTo(s.frontAddress(front), streamPath, fmt.Sprintf("s-%d", i), streamLimit, nil)
			s.rec.printf("client: %v", answers[i])
		})
	}
	if err := sleep(ctx, time.Second); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(backend.commands, "drain"); err != nil {
		return "", err
	}
	for line := range backend.lines {
		if strings.Contains(line, "draining, acknowledged") {
			break
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return "", err
	}
	if trouble {
		s.kill(backend.process)
	}
	wg.Wait()
	var broken []string
	for _, a := range answers {
		if a.complete && a.status == 200 && a.lastID < 60 {
			broken = append(broken, fmt.Sprintf("%s ended as complete after event %d of 60", a.id, a.lastID))
		}
		if !trouble && (!a.complete || a.lastID != 60) {
			return "", fmt.Errorf("not served: %v", a)
		}
	}
	return strings.Join(broken, "; "), nil
}

// startSmall starts three control machines and a gateway, and sends the first configuration.
func (s *system) startSmall(ctx context.Context) ([]*machine, *machine, error) {
	members := s.newMachines("control", 3, "")
	for _, m := range members {
		if _, err := s.start("control", m); err != nil {
			return nil, nil, err
		}
	}
	if err := s.replace(newConfiguration(7), 15*time.Second, members...); err != nil {
		return nil, nil, err
	}
	front := &machine{name: "front-1", ip: s.newIP(), zone: "zone-a"}
	_, err := s.start("gateway", front)
	return members, front, err
}

// awaitRoute waits until the gateway knows a server of the service behind a path. It sends requests that no server runs.
func (s *system) awaitRoute(ctx context.Context, front *machine, path string) error {
	n := 0
	return until(ctx, "server known to the gateway", 15*time.Second, func() bool {
		n++
		a := requestTo(s.frontAddress(front), path, fmt.Sprintf("warm-%d", n), 400*time.Millisecond, nil)
		return a.err == nil && a.status != 503 || a.events > 0
	})
}
