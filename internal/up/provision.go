package up

import (
	"context"
	_ "embed"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/keys"
)

//go:embed settings.json
var document string

const (
	actor            = "up"
	provisionTimeout = 30 * time.Second
)

// provision puts the demonstration's settings in force and creates its key.
func (s *stack) provision(ctx context.Context) (key, id string, err error) {
	ctx, cancel := context.WithTimeout(ctx, provisionTimeout)
	defer cancel()
	err = s.change(ctx, settings.Command{Op: settings.PutDocument, Document: document})
	if err != nil {
		return "", "", err
	}
	k := keys.New()
	err = s.change(ctx, settings.Command{Op: settings.CreateKey, Path: Organisation, KeyID: k.ID, KeyHash: k.Hash})
	return k.Secret, k.ID, err
}

// change commits one change of the settings.
func (s *stack) change(ctx context.Context, c settings.Command) error {
	body, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	data, err := json.Marshal(state.Command{
		Module: settings.ModuleName, AtMS: time.Now().UnixMilli(), Body: body, Actor: actor,
	})
	if err != nil {
		return errors.Trace(err)
	}
	result, err := s.control.Propose(ctx, data)
	if err != nil {
		return err
	}
	var out settings.Outcome
	if err := json.Unmarshal(result, &out); err != nil {
		return errors.Trace(err)
	}
	if !out.Accepted {
		return errors.Errorf("settings refused: %s %s %v", out.Code, out.Message, out.Problems)
	}
	return nil
}
