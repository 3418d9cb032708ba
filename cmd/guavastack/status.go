package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
)

// statusCommands returns the commands that print the state of the system.
func statusCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "status", Usage: "print the leader, drained availability zones, and the version of the settings in force in each process",
			Flags: adminFlags(), Action: withClient(status),
		},
		{Name: "backends", Usage: "print the backend servers", Flags: adminFlags(), Action: withClient(backends)},
		{
			Name: "usage", Usage: "print billing windows with their reported usage, or the counted usage if none is reported yet", Action: withClient(usage),
			Flags: append(adminFlags(), &cli.IntFlag{Name: "limit", Value: 10, Usage: "newest windows to print"}),
		},
		{Name: "orders", Usage: "print orders to the platform and to engines", Flags: adminFlags(), Action: withClient(orders)},
		fleetCommand(),
		{
			Name: "backup", Usage: "write a snapshot of the control group's state to a file", ArgsUsage: "FILE",
			Flags: adminFlags(), Action: withClient(backup),
		},
	}
}

func status(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	st, err := client.Status(ctx, "", 0)
	if err != nil {
		return err
	}
	return printResult(cmd, st, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "leader\t%s\nversion\t%s\nconfirmed\t%v\nin force everywhere\t%v\n", st.Leader, st.Version, st.Confirmed, st.InForce)
		writeDrains(w, st.Drains)
		writeGroup(w, st.Group)
		_, _ = fmt.Fprintln(w, "PROCESS\tROLE\tZONE\tVERSION\tHEARD (MS AGO)")
		for _, p := range st.Processes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", p.ID, p.Role, p.Zone, p.Version, p.AgeMS)
		}
	})
}

// writeDrains prints the drained availability zones.
func writeDrains(w io.Writer, drains []adminapi.ZoneDrain) {
	for _, d := range drains {
		_, _ = fmt.Fprintf(w, "drained zone\t%s since %s, ordered by %s\n", d.Zone, time.UnixMilli(d.SinceMS).UTC().Format(time.RFC3339), d.OrderedBy)
	}
}

// writeGroup prints how many losses the control group tolerates, and an empty line.
func writeGroup(w io.Writer, g *adminapi.Group) {
	if g != nil {
		_, _ = fmt.Fprintf(w, "voters\t%d, %d reachable, quorum %d\n", g.Voters, g.Reachable, g.Quorum)
		_, _ = fmt.Fprintf(w, "losses tolerated\t%d, must be %d\n", g.LossesTolerated, g.FaultTolerance)
		_, _ = fmt.Fprintf(w, "waits for\t%s\n", g.WaitsFor)
		if g.BelowMS > 0 {
			_, _ = fmt.Fprintf(w, "below tolerance\tfor %d ms; unreachable: %s\n", g.BelowMS, strings.Join(g.Unreachable, ", "))
		}
	}
	_, _ = fmt.Fprintln(w)
}

func backends(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	list, err := client.Backends(ctx)
	if err != nil {
		return err
	}
	return printResult(cmd, list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ID\tKIND\tMODEL\tZONE\tLIFECYCLE\tSLOTS\tRUNNING\tWAITING")
		for _, b := range list.Backends {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", b.ID, b.Kind, b.Model, b.Zone, b.Lifecycle, b.Slots, b.Running, b.Waiting)
		}
	})
}

func usage(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	windows, err := client.Usage(ctx, cmd.Int("limit"))
	if err != nil {
		return err
	}
	return printResult(cmd, windows, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "WINDOW\tSTATUS\tORGANISATION\tCLASS\tMODEL\tREQUESTS\tPROMPT\tCACHED\tOUTPUT")
		for _, win := range windows {
			lines := win.Reported
			if len(lines) == 0 {
				lines = win.Counted
			}
			for _, l := range lines {
				_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", win.Window, win.Status,
					l.Organisation, l.Class, l.Model, l.Requests, l.PromptTokens, l.CachedTokens, l.OutputTokens)
			}
			if len(lines) == 0 {
				_, _ = fmt.Fprintf(w, "%d\t%s\t-\n", win.Window, win.Status)
			}
		}
	})
}

func orders(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	list, err := client.Orders(ctx)
	if err != nil {
		return err
	}
	return printResult(cmd, list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ID\tKIND\tSTATUS\tMODEL\tZONE\tSERVER\tFENCING")
		for _, o := range list {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", o.ID, o.Kind, o.Status, o.Model, o.Zone, o.Server, o.Fencing)
		}
	})
}

func backup(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	file, err := oneArg(cmd, "FILE")
	if err != nil {
		return err
	}
	data, err := client.Backup(ctx)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}
