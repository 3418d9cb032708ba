package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/adminclient"
)

// fleetCommand returns the commands that print the fleet and change its settings.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "print wanted and running backend servers and their cost, or change how they are ordered",
		Flags: adminFlags(), Action: withClient(fleetStatus),
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the settings of the fleet", Flags: adminFlags(), Action: withClient(fleetGet)},
			{
				Name: "set", Usage: "replace the settings of the fleet (\"-\": standard input)", ArgsUsage: "FILE",
				Flags: changeFlags(), Action: withClient(fleetSet),
			},
			{Name: "pause", Usage: "send no orders until the fleet is resumed", Flags: changeFlags(), Action: withClient(setFleetPaused(true))},
			{Name: "resume", Usage: "send orders again", Flags: changeFlags(), Action: withClient(setFleetPaused(false))},
		},
	}
}

func fleetStatus(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	f, err := client.Fleet(ctx)
	if err != nil {
		return err
	}
	return printResult(cmd, f, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "phase\t%s\nin charge\t%s\nfencing\t%d\npaused\t%v\ndry run\t%v\nservers\t%d\ncost per hour\t%.2f\nopen orders\t%d\nstuck orders\t%v\nlast error\t%s\n",
			f.Phase, f.Holder, f.Fencing, f.Settings.Paused, f.Settings.DryRun, len(f.Servers), f.CostPerHour, len(f.OpenOrders), f.StuckOrders, f.LastError)
		if len(f.Plans) > 0 {
			_, _ = fmt.Fprintln(w, "\nMODEL\tZONE\tWANTED\tCOST PER HOUR\tDEMAND (SLOTS)\tAT CEILING")
		}
		for _, p := range f.Plans {
			for _, zone := range slices.Sorted(maps.Keys(p.Wanted)) {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.1f\t%v\n", p.Model, zone, p.Wanted[zone], p.CostPerHour, p.Demand, p.Capped)
			}
		}
	})
}

func fleetGet(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	s, err := client.FleetSettings(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool(flagJSON) {
		return printJSON(s)
	}
	return printJSON(s.Settings)
}

func fleetSet(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	file, err := oneArg(cmd, "FILE")
	if err != nil {
		return err
	}
	document, err := readInput(file)
	if err != nil {
		return err
	}
	return putFleetSettings(ctx, cmd, client, document, changeOptions(cmd))
}

func putFleetSettings(ctx context.Context, cmd *cli.Command, client *adminclient.Client, document string, o adminclient.Options) error {
	c, err := client.PutFleetSettings(ctx, document, o)
	if err != nil {
		return err
	}
	return printChange(cmd, c, c.Version, c.InForce, c.Behind)
}

// setFleetPaused returns an action that sets the field paused of the current settings. It fails with a conflict if the settings
// change between the read and the write.
func setFleetPaused(paused bool) func(context.Context, *cli.Command, *adminclient.Client) error {
	return func(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
		s, err := client.FleetSettings(ctx)
		if err != nil {
			return err
		}
		s.Settings.Paused = paused
		document, err := json.Marshal(s.Settings)
		if err != nil {
			return err
		}
		o := changeOptions(cmd)
		o.IfMatch = s.Version
		return putFleetSettings(ctx, cmd, client, string(document), o)
	}
}
