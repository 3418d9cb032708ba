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

// keyCommand returns the commands that create, list, rotate and withdraw callers' keys.
func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "create, list, rotate and withdraw callers' keys",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create a key and print it, once", ArgsUsage: "ORGANISATION", Action: withClient(keyCreate),
				Flags: append(changeFlags(), &cli.DurationFlag{Name: "expires-in", Usage: "lifetime of the key (default: unlimited)"}),
			},
			{
				Name: "list", Usage: "print the keys of an organisation, without the secrets", ArgsUsage: "ORGANISATION",
				Flags: adminFlags(), Action: withClient(keyList),
			},
			{
				Name: "rotate", Usage: "create a key that replaces another one", ArgsUsage: "ORGANISATION KEY-ID", Action: withClient(keyRotate),
				Flags: append(changeFlags(), &cli.DurationFlag{Name: "overlap", Usage: "time for which the old key still works"}),
			},
			{
				Name: "withdraw", Usage: "withdraw a key and cancel the requests that use it", ArgsUsage: "ORGANISATION KEY-ID",
				Flags: changeFlags(), Action: withClient(keyWithdraw),
			},
		},
	}
}

func keyCreate(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	path, err := oneArg(cmd, "ORGANISATION")
	if err != nil {
		return err
	}
	k, err := client.CreateKey(ctx, path, adminapi.NewKey{ExpiresIn: settings.Duration(cmd.Duration("expires-in"))}, changeOptions(cmd))
	if err != nil {
		return err
	}
	return printCreatedKey(cmd, k)
}

func printCreatedKey(cmd *cli.Command, k adminapi.CreatedKey) error {
	return printResult(cmd, k, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "id\t%s\nkey\t%s\n", k.ID, k.Secret)
	})
}

func keyList(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	path, err := oneArg(cmd, "ORGANISATION")
	if err != nil {
		return err
	}
	list, err := client.Keys(ctx, path)
	if err != nil {
		return err
	}
	return printResult(cmd, list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ID\tORGANISATION\tSTATE\tEXPIRES")
		for _, k := range list.Keys {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.ID, k.Organisation, keyState(k), formatExpiry(k.ExpiresMS))
		}
	})
}

func keyState(k adminapi.Key) string {
	switch {
	case k.Withdrawn:
		return "withdrawn"
	case k.ExpiresMS != 0 && time.Now().UnixMilli() >= k.ExpiresMS:
		return "expired"
	default:
		return "usable"
	}
}

func formatExpiry(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// keyArgs returns the two arguments of a command: the organisation and the id of a key.
func keyArgs(cmd *cli.Command) (organisation, id string, err error) {
	if cmd.Args().Len() != 2 {
		return "", "", usagef("%s takes ORGANISATION and KEY-ID", cmd.FullName())
	}
	return cmd.Args().Get(0), cmd.Args().Get(1), nil
}

func keyRotate(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	organisation, id, err := keyArgs(cmd)
	if err != nil {
		return err
	}
	k, err := client.RotateKey(ctx, organisation, id, adminapi.RotateKey{Overlap: settings.Duration(cmd.Duration("overlap"))}, changeOptions(cmd))
	if err != nil {
		return err
	}
	return printCreatedKey(cmd, k)
}

func keyWithdraw(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	organisation, id, err := keyArgs(cmd)
	if err != nil {
		return err
	}
	c, err := client.WithdrawKey(ctx, organisation, id, changeOptions(cmd))
	if err != nil {
		return err
	}
	return printChange(cmd, c, c.Version, c.InForce, c.Behind)
}
