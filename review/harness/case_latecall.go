package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["late-call"] = callOfFormerHolder }

// callOfFormerHolder: the path from the holder of the duty to the platform is cut while its report is under way. The holder is
// stopped as planned, another one takes the duty over and reports. The cut has ended meanwhile; what the former holder sent arrives.
func callOfFormerHolder(ctx context.Context, s *system, trouble bool) (string, error) {
	const cutBefore, cutLength = 500 * time.Millisecond, 4 * time.Second
	p, err := s.startPlatform()
	if err != nil {
		return "", err
	}
	members := s.newMachines("control", 3, "")
	uplinks := make(map[string]*uplink)
	for _, m := range members {
		u, err := s.startUplink(m.name, p.lis.Addr().String())
		if err != nil {
			return "", err
		}
		uplinks[m.name], m.platform = u, u.addr
		if _, err := s.start("control", m); err != nil {
			return "", err
		}
	}
	if err := s.replace(newConfiguration(7), 15*time.Second, members...); err != nil {
		return "", err
	}
	if err := until(ctx, "three usage reports", 50*time.Second, func() bool { return len(p.all()) >= 3 }); err != nil {
		return "", err
	}
	before := p.all()
	last := before[len(before)-1]
	link := uplinks[last.holder]
	if link == nil {
		return "", fmt.Errorf("unknown holder %q", last.holder)
	}
	if err := sleep(ctx, time.Until(last.at.Add(windowLength-cutBefore))); err != nil {
		return "", err
	}
	cutAt := time.Now()
	if trouble {
		link.cut()
	}
	if err := sleep(ctx, cutBefore+500*time.Millisecond); err != nil {
		return "", err
	}
	s.signal(s.processOf("control on "+last.holder), sigTERM)
	if err := sleep(ctx, time.Until(cutAt.Add(cutLength))); err != nil {
		return "", err
	}
	healed := time.Now()
	if trouble {
		if err := link.heal(); err != nil {
			return "", err
		}
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return "", err
	}
	highest := 0
	for _, call := range p.all() {
		if call.token < highest && call.at.After(healed.Add(thawSlack)) {
			return fmt.Sprintf("the platform got window %d from %s with fencing token %d after token %d, %v after the cut had ended",
				call.window, call.holder, call.token, highest, call.at.Sub(healed).Round(time.Millisecond)), nil
		}
		highest = max(highest, call.token)
	}
	if highest <= last.token {
		return "", fmt.Errorf("no other holder has reported")
	}
	return "", nil
}
