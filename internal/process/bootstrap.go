package process

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/telemetry"
)

const (
	// bootstrapName is the change id and the actor of the first settings document.
	bootstrapName = "bootstrap"
	// bootstrapPoll is how often a member looks whether the group still has no settings.
	bootstrapPoll = 200 * time.Millisecond
)

// checkBootstrap reads the first settings document, so that its mistakes show at the start. An empty name is none.
func checkBootstrap(file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	_, problems := settings.Parse(file, data)
	return problems.Err()
}

// bootstrap puts the first settings document in force while this member leads a group that has none. It ends once the
// group has settings, whoever set them, or ctx ends.
func (c *Control) bootstrap(ctx context.Context) {
	tick := time.NewTicker(bootstrapPoll)
	defer tick.Stop()
	for !c.hasSettings() {
		if _, leads := c.replica.Lease(); leads {
			if err := c.putBootstrap(ctx); err != nil && ctx.Err() == nil {
				c.base.Logger.Warn("first settings not in force yet", telemetry.KeyError, err.Error())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// hasSettings reports whether the group has accepted a change of the settings.
func (c *Control) hasSettings() bool {
	var v settings.Version
	c.replica.View(func() { v = c.state.Settings.Tree().Version() })
	return v.Version > 0
}

// putBootstrap proposes the document for the empty tree only, so that it can't replace what operators have set.
func (c *Control) putBootstrap(ctx context.Context) error {
	document, err := os.ReadFile(c.base.Config.Control.Bootstrap)
	if err != nil {
		return errors.Trace(err)
	}
	body, err := json.Marshal(settings.Command{
		Op: settings.PutDocument, ChangeID: bootstrapName, IfMatch: settings.Version{}.String(), Document: string(document),
	})
	if err != nil {
		return errors.Trace(err)
	}
	command, err := json.Marshal(state.Command{
		Module: settings.ModuleName, AtMS: time.Now().UnixMilli(), Body: body, Actor: bootstrapName,
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.replica.Propose(ctx, command)
	return err
}
