package main

import (
	_ "embed"
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
)

//go:embed seeds.txt
var keptText string

// keptSeed is a seed that broke once.
type keptSeed struct {
	seed      uint64
	overrides Overrides
	cause     string
}

// keptPlans returns the plans of the seeds in seeds.txt, all or those with one number.
func keptPlans(only ...uint64) ([]Plan, error) {
	kept, err := keptSeeds(keptText)
	if err != nil {
		return nil, err
	}
	var out []Plan
	for _, k := range kept {
		if len(only) == 0 || slices.Contains(only, k.seed) {
			out = append(out, NewPlan(k.seed, k.overrides))
		}
	}
	return out, nil
}

// keptSeeds returns the seeds of seeds.txt.
func keptSeeds(text string) ([]keptSeed, error) {
	var out []keptSeed
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := parseKept(line)
		if err != nil {
			return nil, errors.Annotate(err, line)
		}
		out = append(out, k)
	}
	return out, nil
}

func parseKept(line string) (keptSeed, error) {
	var k keptSeed
	var list, leader string
	settings, cause, ok := strings.Cut(line, "  ")
	k.cause = strings.TrimSpace(cause)
	if !ok || k.cause == "" {
		return k, errors.NotValidf("kept seed without a cause")
	}
	o := &k.overrides
	if _, err := fmt.Sscan(settings, &k.seed, &o.Members, &o.Tolerance, &list, &leader, &o.Rounds); err != nil {
		return k, errors.Trace(err)
	}
	o.SeedList, o.Leader = SeedList(strings.Trim(list, "-")), Leader(strings.Trim(leader, "-"))
	return k, o.check()
}
