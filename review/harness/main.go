// Command harness runs the cases of the review: it starts the programs of the project as separate processes on loopback addresses,
// with settings rendered from the templates in deploy, and plays clients, backend servers and the platform.
//
// It exits with 0 if the rule of the case held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// caseTimeout bounds one run of a case.
const caseTimeout = 110 * time.Second

// caseFunc plays a case. It returns what broke the rule, or an empty text if the rule held. trouble is false for the same course of
// events without the disruption.
type caseFunc func(ctx context.Context, s *system, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(runServerProcess(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: harness CASE FOLDER; cases: %v\n", caseNames())
		os.Exit(exitCannot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func caseNames() []string {
	var names []string
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// runCase plays one case, writes record.txt in folder and returns the exit code.
func runCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", name, trouble)
	s, err := newSystem(rec)
	if err != nil {
		rec.printf("cannot run: %v", err)
		return exitCannot
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	broken, err := cases[name](ctx, s, trouble)
	switch {
	case err != nil:
		rec.printf("cannot run: %v", err)
		return exitCannot
	case broken != "":
		rec.printf("BROKEN: %s", broken)
		return exitBroken
	default:
		rec.printf("the rule held")
		return exitHeld
	}
}
