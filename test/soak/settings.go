package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/guavastack/guavastack/internal/settingstemplate"
)

// Ports, the same on all machines. They are below the range from which the kernel takes the ports of outgoing connections.
const (
	operatorPort  = 18229
	internalPort  = 17340
	frontPort     = 18227
	readinessPort = 18220
	backendPort   = 18080
	lockPort      = 18001
)

// settings returns the fields of the settings of a machine's processes.
func (s *system) settings(m *machine) settingstemplate.Fields {
	f := settingstemplate.Fields{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone, "seeds": s.seeds(),
		"internalPorts": []int{internalPort, internalPort},
		"limits":        settingstemplate.Fields{"memoryMb": memoryLimitMB},
		"bootstrap":     m.bootstrap,
		"listen": settingstemplate.Fields{
			"control": address(m, operatorPort), "front": address(m, frontPort), "readiness": address(m, readinessPort),
		},
		"bounds": settingstemplate.Fields{
			"reportWindowS": int(reportWindow / time.Second), "leaseMs": leaseSpacing.Milliseconds(),
			"revokeMs": revokeBound.Milliseconds(), "configApplyMs": applyBound.Milliseconds(),
			"graceS": int(graceTime / time.Second), "retryBudgetRatio": retryRatio,
		},
	}
	if s.plan.Tolerance > 0 {
		f["faultTolerance"] = settingstemplate.Fields{"machines": s.plan.Tolerance}
	}
	if m.hasDisk {
		f["dataDir"] = s.dataDir(m)
	}
	return f
}

func address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (s *system) dataDir(m *machine) string { return filepath.Join(s.dir, "data-"+m.name) }

// seeds returns the addresses that the settings name at this moment.
func (s *system) seeds() []string {
	named := s.listed(time.Now())
	if s.plan.SeedList == SeedsFirst {
		named = s.first
	}
	var out []string
	for _, m := range named {
		if m.hasDisk && len(out) < seedCount {
			out = append(out, address(m, operatorPort))
		}
	}
	return out
}
