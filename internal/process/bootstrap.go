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
	// bootstrapPoll is the interval at which a member checks whether the group still has no settings.
	bootstrapPoll = 200 * time.Millisecond
)

// checkBootstrap parses the first settings document, so that errors in it fail the start of the process. It accepts an
// empty file name, which means that there is no document.
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

// bootstrap proposes the first settings document whenever this member leads a group without settings. It returns once
// the group has settings from any source, or when ctx is done.
func (c *Control) bootstrap(ctx context.Context) {
	tick := time.NewTicker(bootstrapPoll)
	defer tick.Stop()
	for !c.hasSettings() {
		if _, leads := c.replica.Lease(); leads {
			if err := c.putBootstrap(ctx); err != nil && ctx.Err() == nil {
				c.base.Logger.Warn("proposing bootstrap settings failed; will retry", telemetry.KeyError, err.Error())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// hasSettings reports whether the group has committed any change of the settings.
func (c *Control) hasSettings() bool {
	var v settings.Version
	c.replica.View(func() { v = c.state.Settings.Tree().Version() })
	return v.Version > 0
}

// putBootstrap proposes the document on the condition that the settings tree is empty, so that it never replaces
// settings made by operators.
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
