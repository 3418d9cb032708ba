package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["members"] = secondLossAfterRepair }

// secondLossAfterRepair: a control machine is replaced as planned by an empty one. When the successor has had its time to catch up,
// another control machine is lost for good and replaced as well. One machine at a time is lost.
func secondLossAfterRepair(ctx context.Context, s *system, trouble bool) (string, error) {
	members := s.newMachines("control", 3, "")
	for _, m := range members {
		if _, err := s.start("control", m); err != nil {
			return "", err
		}
	}
	if err := s.replace(newConfiguration(7), 15*time.Second, members...); err != nil {
		return "", err
	}
	front := &machine{name: "front-1", ip: s.newIP(), zone: "zone-a"}
	if _, err := s.start("gateway", front); err != nil {
		return "", err
	}
	backend, err := startServer(serverConfig{
		ID: "i-1", Service: plainName, Address: fmt.Sprintf("%s:8080", s.newIP()), Zone: "zone-a", Slots: 6, Control: s.seeds,
	}, func(string, ...any) {})
	if err != nil {
		return "", err
	}
	defer backend.close()
	served := func(id string) bool {
		a := requestTo(s.frontAddress(front), unsafePath, id, 4*time.Second, nil)
		return a.status == 200 && a.signed && a.complete
	}
	if err := until(ctx, "first request served", 10*time.Second, func() bool { return served("r-first") }); err != nil {
		return "", err
	}
	s.rec.printf("a request is served")
	if err := sleep(ctx, catchUp); err != nil { // all machines have had their time since the first start
		return "", err
	}
	alive := members
	if trouble {
		if alive, err = s.loseTwo(ctx, members); err != nil {
			return "", err
		}
		backend.setControl(s.operatorAddresses(alive))
	}
	if err := sleep(ctx, recovery+contact); err != nil {
		return "", err
	}
	version := 0
	for end := time.Now().Add(2 * contact); version == 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range alive {
			v, status := s.readBack(m)
			s.rec.printf("operator: read at %s: status %d, version %d", m.name, status, v)
			version = max(version, v)
		}
	}
	ok := 0
	for i := range 10 {
		if served(fmt.Sprintf("r-%d", i)) {
			ok++
		}
	}
	s.rec.printf("clients: %d of 10 requests served", ok)
	err = s.replace(newConfiguration(9), 5*time.Second, alive...)
	s.rec.printf("operator: a new configuration: %v", err)
	if version == 7 {
		return "", nil
	}
	return fmt.Sprintf("the acknowledged version 7 can't be read back %v after all machines are back; %d of 10 requests are served", recovery+contact, ok), nil
}

// lossMargin is added to the time in which a machine counts as lost.
const lossMargin = 500 * time.Millisecond

// loseTwo replaces the first member as planned, and the second one after its loss. It returns the machines that are left.
func (s *system) loseTwo(ctx context.Context, members []*machine) ([]*machine, error) {
	successors := []*machine{
		{name: "control-4", ip: s.newIP(), zone: members[0].zone, hasDisk: true},
		{name: "control-5", ip: s.newIP(), zone: members[1].zone, hasDisk: true},
	}
	s.rec.printf("planned replacement of %s by %s: the new one first, then SIGTERM", members[0].name, successors[0].name)
	if _, err := s.start("control", successors[0]); err != nil {
		return nil, err
	}
	// A new machine counts as lost until it has had its time to catch up.
	if err := sleep(ctx, catchUp+lossMargin); err != nil {
		return nil, err
	}
	if err := s.stop(ctx, members[0]); err != nil {
		return nil, err
	}
	ended := time.Now()
	// The removed machine doesn't count any more, since its successor has had its time. It is given that time once more.
	if err := sleep(ctx, catchUp+lossMargin); err != nil {
		return nil, err
	}
	s.rec.printf("%s is lost for good, %v after the end of %s", members[1].name, time.Since(ended).Round(time.Millisecond), members[0].name)
	s.kill(s.processOf("control on " + members[1].name))
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if _, err := s.start("control", successors[1]); err != nil {
		return nil, err
	}
	return []*machine{members[2], successors[0], successors[1]}, nil
}
