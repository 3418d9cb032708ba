// Command record converts the output of go test -bench to a JSON file with a description of the machine.
package main

import (
	"encoding/json"
	"flag"
	"log"
	"os"
	"runtime"
	"strings"
	"time"
)

// result is the content of the output file.
type result struct {
	At       time.Time `json:"at"`
	Go       string    `json:"go"`
	OS       string    `json:"os"`
	Arch     string    `json:"arch"`
	CPUs     int       `json:"cpus"`
	CPU      string    `json:"cpu"`
	LoadAvg  string    `json:"load_average"` // after the benchmarks
	Lines    []string  `json:"lines"`        // benchmark lines, in the format of benchstat
	Packages []string  `json:"packages"`
}

func main() {
	log.SetFlags(0)
	in := flag.String("in", "", "output of go test -bench")
	out := flag.String("out", "", "JSON file to write")
	flag.Parse()
	if err := record(*in, *out); err != nil {
		log.Fatal(err)
	}
}

func record(in, out string) error {
	text, err := os.ReadFile(in)
	if err != nil {
		return err
	}
	r := result{
		At: time.Now().UTC(), Go: runtime.Version(), OS: runtime.GOOS, Arch: runtime.GOARCH, CPUs: runtime.NumCPU(),
	}
	if load, err := os.ReadFile("/proc/loadavg"); err == nil {
		r.LoadAvg = strings.TrimSpace(string(load))
	}
	for _, line := range strings.Split(string(text), "\n") {
		switch {
		case strings.HasPrefix(line, "cpu: "):
			r.CPU = strings.TrimPrefix(line, "cpu: ")
		case strings.HasPrefix(line, "pkg: "):
			r.Packages = append(r.Packages, strings.TrimPrefix(line, "pkg: "))
		}
		if strings.HasPrefix(line, "Benchmark") || strings.HasPrefix(line, "pkg: ") {
			r.Lines = append(r.Lines, line)
		}
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(out, append(data, '\n'), 0o644)
}
