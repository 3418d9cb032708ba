package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/process"
)

// groupCommand returns the commands that change the members of the control group and restore it.
func groupCommand() *cli.Command {
	return &cli.Command{
		Name:  "group",
		Usage: "change the members of the control group, and restore it from a backup",
		Commands: []*cli.Command{
			{
				Name: "add", Usage: "add a member that replicates the log and has no vote yet (send to the leader)", ArgsUsage: "NUMBER ADDRESS",
				Flags: adminFlags(), Action: withClient(groupAdd),
			},
			{
				Name: "promote", Usage: "give a member a vote once it has caught up (send to the leader)", ArgsUsage: "NUMBER",
				Flags: adminFlags(), Action: withClient(groupChange((*adminclient.Client).PromoteMember)),
			},
			{
				Name: "remove", Usage: "remove a member from the group (send to the leader)", ArgsUsage: "NUMBER",
				Flags: adminFlags(), Action: withClient(groupChange((*adminclient.Client).RemoveMember)),
			},
			{
				Name: "transfer", Usage: "transfer leadership to another member (send to the leader)", Flags: adminFlags(),
				Action: withClient(func(ctx context.Context, _ *cli.Command, client *adminclient.Client) error {
					return client.TransferLeadership(ctx)
				}),
			},
			{
				Name: "restore", Usage: "restore a backup into the blank data directory of a member, which becomes the first of a new group",
				ArgsUsage: "BACKUP", Action: groupRestore,
				Flags: []cli.Flag{&cli.StringFlag{Name: "config", Required: true, Usage: "settings `FILE` of the control member"}},
			},
		},
	}
}

func parseMemberID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, usagef("%q is not the number of a member", text)
	}
	return id, nil
}

func groupAdd(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
	if cmd.Args().Len() != 2 {
		return usagef("%s takes NUMBER and ADDRESS", cmd.FullName())
	}
	id, err := parseMemberID(cmd.Args().Get(0))
	if err != nil {
		return err
	}
	return client.AddMember(ctx, adminapi.Member{ID: id, Address: cmd.Args().Get(1)})
}

// groupChange returns the action of a command whose only argument is the number of a member.
func groupChange(change func(*adminclient.Client, context.Context, uint64) error) operatorAction {
	return func(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error {
		text, err := oneArg(cmd, "NUMBER")
		if err != nil {
			return err
		}
		id, err := parseMemberID(text)
		if err != nil {
			return err
		}
		return change(client, ctx, id)
	}
}

func groupRestore(_ context.Context, cmd *cli.Command) error {
	file, err := oneArg(cmd, "BACKUP")
	if err != nil {
		return err
	}
	cfg, err := config.Load(cmd.String("config"))
	if err != nil {
		return err
	}
	if cfg.Control == nil {
		return usagef("the settings file has no \"control\" section")
	}
	if err := process.Restore(cfg, file); err != nil {
		return err
	}
	fmt.Printf("restored into %s; start this member, then add the others to it\n", cfg.Control.DataDir)
	return nil
}
