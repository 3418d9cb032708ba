package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// settingsCommand returns the commands that read and change the tree of settings.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "read and change organisations, classes and routes",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print the tree, or the part below an organisation", ArgsUsage: "[ORGANISATION]",
				Flags: adminFlags(), Action: withClient(settingsGet),
			},
			{
				Name: "set", Usage: "replace the whole tree by a document (\"-\": standard input)", ArgsUsage: "FILE",
				Flags: changeFlags(), Action: withClient(settingsSet),
			},
			{
				Name: "history", Usage: "print who changed what and when", Action: withClient(settingsHistory),
				Flags: append(adminFlags(), &cli.IntFlag{Name: "limit", Value: 20, Usage: "newest changes to print"}),
			},
			{
				Name: "explain", Usage: "print where each effective value of a class comes from", ArgsUsage: "ORGANISATION CLASS",
				Flags: adminFlags(), Action: withClient(settingsExplain),
			},
			{
				Name: "rollback", Usage: "return to an earlier version, as a new one", ArgsUsage: "VERSION",
				Flags: changeFlags(), Action: withClient(settingsRollback),
			},
		},
	}
}

func settingsGet(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	tree, err := client.Settings(ctx, cmd.Args().First())
	if err != nil {
		return err
	}
	return printJSON(tree)
}

func settingsSet(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	file, err := oneArg(cmd, "FILE")
	if err != nil {
		return err
	}
	document, err := readInput(file)
	if err != nil {
		return err
	}
	if _, problems := settings.Parse(file, []byte(document)); len(problems) > 0 {
		return problems
	}
	c, err := client.PutSettings(ctx, document, changeOptions(cmd))
	if err != nil {
		return err
	}
	return printChange(cmd, c, c.Version, c.InForce, c.Behind)
}

func settingsHistory(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	h, err := client.History(ctx, cmd.Int("limit"))
	if err != nil {
		return err
	}
	return printResult(cmd, h, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "VERSION\tTIME\tOPERATOR\tCHANGE\tORGANISATION\tKEY")
		for _, c := range h.Changes {
			at := time.UnixMilli(c.AtMS).UTC().Format(time.RFC3339)
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", c.Version, at, c.Operator, c.Op, c.Organisation, c.KeyID)
		}
	})
}

func settingsExplain(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	if cmd.Args().Len() != 2 {
		return usagef("%s takes ORGANISATION and CLASS", cmd.FullName())
	}
	e, err := client.Explain(ctx, cmd.Args().Get(0), cmd.Args().Get(1))
	if err != nil {
		return err
	}
	return printResult(cmd, e, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "FIELD\tVALUE\tFROM")
		for _, o := range e.Origins {
			_, _ = fmt.Fprintf(w, "%s\t%v\t%s\n", o.Field, o.Value, formatOrigin(o))
		}
	})
}

func settingsRollback(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	to, err := oneArg(cmd, "VERSION")
	if err != nil {
		return err
	}
	c, err := client.Rollback(ctx, to, changeOptions(cmd))
	if err != nil {
		return err
	}
	return printChange(cmd, c, c.Version, c.InForce, c.Behind)
}

// organisationCommand returns the commands that read and change one node of the tree of settings.
func organisationCommand() *cli.Command {
	return &cli.Command{
		Name:  "organisation",
		Usage: "read and change organisations",
		Commands: []*cli.Command{
			{Name: "list", Usage: "print all organisations", Flags: adminFlags(), Action: withClient(organisationList)},
			{
				Name: "get", Usage: "print what an organisation sets itself", ArgsUsage: "ORGANISATION",
				Flags: adminFlags(), Action: withClient(organisationGet),
			},
			{
				Name: "set", Usage: "create an organisation or replace what it sets (\"-\": standard input)",
				ArgsUsage: "ORGANISATION FILE", Flags: changeFlags(), Action: withClient(organisationSet),
			},
			{
				Name: "patch", Usage: "change some of what an organisation sets, by a JSON merge patch",
				ArgsUsage: "ORGANISATION PATCH", Flags: changeFlags(), Action: withClient(organisationPatch),
			},
			{
				Name: "remove", Usage: "remove an organisation and withdraw its keys", ArgsUsage: "ORGANISATION",
				Flags: changeFlags(), Action: withClient(organisationRemove),
			},
		},
	}
}

func organisationList(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	list, err := client.Organisations(ctx)
	if err != nil {
		return err
	}
	return printResult(cmd, list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ORGANISATION\tKEYS\tCLASSES")
		for _, o := range list.Organisations {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%v\n", o.Path, o.Keys, o.Classes)
		}
	})
}

func organisationGet(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	path, err := oneArg(cmd, "ORGANISATION")
	if err != nil {
		return err
	}
	node, err := client.Organisation(ctx, path)
	if err != nil {
		return err
	}
	return printJSON(node)
}

// organisationChange is a client method that changes the organisation at path by a document or patch.
type organisationChange func(ctx context.Context, path, text string, o adminclient.Options) (adminapi.Change, error)

// changeOrganisation runs change on the organisation of the first argument. The function text turns the second argument into
// the document or patch.
func changeOrganisation(ctx context.Context, cmd *cli.Command, text func(string) (string, error), change organisationChange) error {
	if cmd.Args().Len() != 2 {
		return usagef("%s takes two arguments", cmd.FullName())
	}
	input, err := text(cmd.Args().Get(1))
	if err != nil {
		return err
	}
	c, err := change(ctx, cmd.Args().Get(0), input, changeOptions(cmd))
	if err != nil {
		return err
	}
	return printChange(cmd, c, c.Version, c.InForce, c.Behind)
}

func organisationSet(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	return changeOrganisation(ctx, cmd, readInput, client.PutOrganisation)
}

func organisationPatch(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	asIs := func(text string) (string, error) { return text, nil }
	return changeOrganisation(ctx, cmd, asIs, client.PatchOrganisation)
}

func organisationRemove(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	path, err := oneArg(cmd, "ORGANISATION")
	if err != nil {
		return err
	}
	c, err := client.RemoveOrganisation(ctx, path, changeOptions(cmd))
	if err != nil {
		return err
	}
	return printChange(cmd, c, c.Version, c.InForce, c.Behind)
}

// formatOrigin returns the node and the part of it that sets a value, for example "demo's class".
func formatOrigin(o settings.Origin) string {
	switch {
	case o.From == "built_in":
		return "built in"
	case o.Node == "":
		return "the root's " + o.From
	default:
		return o.Node + "'s " + o.From
	}
}
