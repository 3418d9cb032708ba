package main

import (
	"fmt"
	"net/http"
	"time"
)

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
