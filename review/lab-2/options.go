package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["options"] = runOptions }

// ordersRoute is a route of a plain service whose requests may not be repeated.
var ordersRoute = route{
	Name: "orders", Hostname: hostname, PathPrefix: "/orders/", Kind: "unsafe", TimeoutMS: 1500, TargetMS: 100, Priority: 2,
	Service: "orders", Attempts: 1,
}

// answerDone answers a request of a plain service.
func answerDone(b *standin, w http.ResponseWriter, r *http.Request) {
	b.sys.record.line("server %s runs %s %s of %s", b.name(), r.Method, r.URL.Path, r.Header.Get(headerID))
	w.Header().Set("Content-Length", "5")
	_, _ = w.Write([]byte("done\n"))
}

// startSmall starts machines with control members on the first three, one server of each service, and a configuration.
func startSmall(root string, rec *record, machines int, servers []*standin, c configuration) (*system, error) {
	s, err := newSystem(root, rec, machines, 3)
	if err != nil {
		return nil, err
	}
	for i := range s.machines {
		if err := s.start(i); err != nil {
			s.close()
			return nil, err
		}
	}
	for i, b := range servers {
		b.sys, b.address = s, fmt.Sprintf("%s.%d:8080", s.network, 100+i)
		if err := b.start(); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.configure(c, 30*time.Second); err != nil {
		s.close()
		return nil, err
	}
	for i := range s.machines {
		if err := s.awaitReady(i, 20*time.Second); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// awaitServed waits until an ordinary request is served by the gateway of machine i.
func (s *system) awaitServed(i int, path string) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a := send(s.address(i, s.ports.front), request{id: newID(), method: http.MethodPost, path: path, deadline: time.Second, body: []byte("one")})
		if a.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no ordinary request is served at %s", s.machines[i].name)
}

func runOptions(root string, rec *record, trouble bool) error {
	s, err := startSmall(root, rec, 4, []*standin{newStandin(nil, "orders", "porto-a", "", 6, answerDone)}, newConfiguration(1, ordersRoute))
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.awaitServed(0, "/orders/1"); err != nil {
		return err
	}
	path := "/never/1"
	if trouble {
		path = "*"
	}
	broken := 0
	for i := range s.machines {
		r := request{id: newID(), method: http.MethodOptions, path: path, deadline: 1500 * time.Millisecond}
		a := send(s.address(i, s.ports.front), r)
		rec.line("client: %s %s (%s) at %s is answered %v", r.method, r.path, r.id, s.machines[i].name, a)
		if a.status/100 == 2 && a.header.Get(headerSeal) == "" {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d answers are a success without a server's seal", errBroken, broken)
	}
	return nil
}
