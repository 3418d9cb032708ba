// Command review-2 runs the scripts of the cases of the second review against the programs of the deploy file. It ends with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("rule broken")

// scenario is one case. trouble is false for the control run without the disruption.
type scenario func(root string, rec *record, trouble bool) error

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE REPOSITORY FOLDER")
		return 2
	}
	scene, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	err = scene(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		rec.line("the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.line("%v", err)
		fmt.Println(err)
		return 1
	default:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
}
