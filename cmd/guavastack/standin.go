package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/standin/engine"
	standinplatform "github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/internal/standin/service"
)

// standinCommand returns the commands that serve stand-ins for external systems, for tests and demonstrations.
func standinCommand() *cli.Command {
	listen := func() cli.Flag {
		return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to serve on"}
	}
	return &cli.Command{
		Name:  "standin",
		Usage: "serve a stand-in for a model engine, a plain service or the platform",
		Commands: []*cli.Command{
			{
				Name: "engine", Usage: "a model engine with continuous batching",
				Flags: []cli.Flag{
					listen(),
					&cli.StringFlag{Name: "model", Value: "demo-model", Usage: "`NAME` of the model"},
					&cli.IntFlag{Name: "slots", Value: 16, Usage: "requests that run at the same time"},
					&cli.DurationFlag{Name: "token-interval", Value: 10 * time.Millisecond, Usage: "time between tokens of a request that runs alone"},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return serveStandin(ctx, cmd, engine.New(engine.Config{
						Model:         cmd.String("model"),
						Slots:         cmd.Int("slots"),
						TokenInterval: cmd.Duration("token-interval"),
					}))
				},
			},
			{
				Name: "service", Usage: "a plain service that counts the requests it receives", Flags: []cli.Flag{listen()},
				Action: func(ctx context.Context, cmd *cli.Command) error { return serveStandin(ctx, cmd, service.New()) },
			},
			{
				Name: "platform", Usage: "the platform's orders and usage reports", Flags: []cli.Flag{
					listen(),
					&cli.StringSliceFlag{Name: "zone", Value: []string{"a"}, Usage: "availability `ZONE` (may be repeated)"},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					var zones []platformclient.Zone
					for _, z := range cmd.StringSlice("zone") {
						zones = append(zones, platformclient.Zone{Name: z, PricePerHour: 1})
					}
					return serveStandin(ctx, cmd, standinplatform.New(standinplatform.Config{Zones: zones}).Handler())
				},
			},
		},
	}
}

// serveStandin prints the URL of a stand-in and serves it until ctx is done.
func serveStandin(ctx context.Context, cmd *cli.Command, h http.Handler) error {
	lis, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	fmt.Printf("http://%s\n", lis.Addr())
	if err := srv.Serve(lis); err != http.ErrServerClosed {
		return err
	}
	return nil
}
