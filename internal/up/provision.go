package up

import (
	"context"
	_ "embed"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
)

//go:embed settings.json
var document string

// provisionTimeout bounds the set-up of the demonstration.
const provisionTimeout = 30 * time.Second

// provision puts the demonstration's settings in force and creates its key.
func (s *stack) provision(ctx context.Context) (*adminapi.CreatedKey, error) {
	ctx, cancel := context.WithTimeout(ctx, provisionTimeout)
	defer cancel()
	client := adminclient.New("http://"+s.control.AdminAddr().String(), s.token, nil)
	if _, err := client.PutSettings(ctx, document, adminclient.Options{IfMatch: "*"}); err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	key, err := client.CreateKey(ctx, Organisation, adminapi.NewKey{}, adminclient.Options{})
	return &key, errors.Annotate(err, "key")
}
