// Command deploy runs a deployment as separate processes on loopback addresses, sends it load, optionally kills, suspends and
// restarts processes meanwhile, and prints the latencies and outcomes of the requests and the CPU and memory usage of each role.
//
// It needs a guavastack binary:
//
//	go build -o /tmp/guavastack ./cmd/guavastack
//	go run ./bench/deploy -binary /tmp/guavastack -fleet camurca -policy tiered_two_choices
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"time"

	"github.com/guavastack/guavastack/internal/loadgen"
	"github.com/guavastack/guavastack/internal/localcluster"
	"github.com/guavastack/guavastack/internal/standin/engine"
)

// fleet is the size of a deployment.
type fleet struct {
	zones             []string
	engines, services int
}

var fleets = map[string]fleet{
	"camurca":   {zones: []string{"porto-1", "porto-2", "braga-1", "braga-2"}, engines: 12, services: 4},
	"fjordslag": {zones: []string{"trondheim-1", "trondheim-2", "orkanger-1"}, engines: 18, services: 3},
}

// options holds the values of the flags.
type options struct {
	binary   string
	fleet    string
	policy   string
	entries  int
	slots    int
	interval time.Duration
	duration time.Duration
	overload float64
	seed     uint64
	faults   bool
	engines  int
	services int
	rest     bool
	out      string
}

func main() {
	log.SetFlags(0)
	var o options
	flag.StringVar(&o.binary, "binary", "", "guavastack binary")
	flag.StringVar(&o.fleet, "fleet", "camurca", "camurca or fjordslag")
	flag.StringVar(&o.policy, "policy", "tiered_two_choices", "tiered_two_choices, fifo_round_robin or fifo_least_outstanding")
	flag.IntVar(&o.entries, "entries", 3, "entries")
	flag.IntVar(&o.slots, "slots", 8, "batch size of an engine")
	flag.DurationVar(&o.interval, "token-interval", 10*time.Millisecond, "token interval of a request that is alone in its batch")
	flag.DurationVar(&o.duration, "duration", 30*time.Second, "length of the load or of the measurement without load")
	flag.Float64Var(&o.overload, "overload", 3, "arrival rate of the burst, as a multiple of the capacity")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the load and of the faults")
	flag.BoolVar(&o.faults, "faults", false, "kill, suspend and restart processes and crash engines during the run")
	flag.IntVar(&o.engines, "engines", 0, "number of engines; 0: as in the fleet")
	flag.IntVar(&o.services, "services", 0, "number of services if -engines is set; at least 1")
	flag.BoolVar(&o.rest, "rest", false, "send no load, and measure the resource usage without it")
	flag.StringVar(&o.out, "out", "", "file for the result in JSON")
	flag.Parse()
	if err := run(o); err != nil {
		log.Fatal(err)
	}
}

// report is the content of the -out file.
type report struct {
	Fleet      string          `json:"fleet"`
	Policy     string          `json:"policy"`
	Load       *loadgen.Result `json:"load"`
	Roles      []roleUsage     `json:"roles"`
	Faults     []string        `json:"faults,omitempty"`
	Violations []string        `json:"platform_violations,omitempty"`
}

func run(o options) error {
	f, ok := fleets[o.fleet]
	if !ok {
		return fmt.Errorf("unknown fleet %q", o.fleet)
	}
	if o.engines > 0 {
		f.engines, f.services = o.engines, max(o.services, 1)
	}
	dir, err := os.MkdirTemp("", "deploy-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := localcluster.New(localcluster.Config{
		Command: func(args ...string) *exec.Cmd { return exec.Command(o.binary, args...) },
		Dir:     dir, Zones: f.zones, Control: 3, Entries: o.entries, Engines: f.engines, Services: f.services,
		Engine: engine.Config{TokenInterval: o.interval, Slots: 4 * o.slots, BatchSlowdown: batchSlowdown},
		Slots:  o.slots, Window: 10 * time.Second, Document: settingsDocument, LogLevel: "warn", DrainDelay: 500 * time.Millisecond,
		Policy: o.policy,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	ctx := context.Background()
	if err := c.StartAll(ctx); err != nil {
		return err
	}
	if o.rest {
		return measureIdle(c, o.duration)
	}
	s, err := scenario(ctx, c, o, f)
	if err != nil {
		return err
	}
	before := measure(c)
	started := time.Now()
	rep := report{Fleet: o.fleet, Policy: o.policy}
	faultsDone := make(chan []string, 1)
	if o.faults {
		go func() { faultsDone <- injectFaults(c, o) }()
	} else {
		faultsDone <- nil
	}
	if rep.Load, err = loadgen.Run(ctx, s, loadgen.Options{}); err != nil {
		return err
	}
	rep.Faults = <-faultsDone
	rep.Roles = usageByRole(before, measure(c), time.Since(started))
	rep.Violations = c.Platform.Record().Violations
	return rep.write(o.out)
}

func (r *report) write(out string) error {
	if err := loadgen.WriteReport(os.Stdout, []string{r.Fleet + " " + r.Policy}, []*loadgen.Result{r.Load}); err != nil {
		return err
	}
	printRoles(r.Roles)
	for _, f := range r.Faults {
		fmt.Println(f)
	}
	if len(r.Violations) > 0 {
		fmt.Println("platform rule violations:", r.Violations)
	}
	if out == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(out, append(data, '\n'), 0o644)
}

func printRoles(roles []roleUsage) {
	fmt.Printf("\n%-8s %9s %12s %12s\n", "role", "processes", "cores each", "MiB each")
	for _, u := range roles {
		fmt.Printf("%-8s %9d %12.4f %12.1f\n", u.Role, u.Processes, u.CoresEach, u.MiBEach)
	}
}
