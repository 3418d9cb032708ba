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

// provisionTimeout bounds the time for storing the demonstration's settings and creating its key.
const provisionTimeout = 30 * time.Second

// provision stores the demonstration's settings in the control group and creates its key.
func (s *system) provision(ctx context.Context) (*adminapi.CreatedKey, error) {
	ctx, cancel := context.WithTimeout(ctx, provisionTimeout)
	defer cancel()
	client := adminclient.New("http://"+s.control.AdminAddr().String(), s.operatorToken, nil)
	if _, err := client.PutSettings(ctx, document, adminclient.Options{IfMatch: "*"}); err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	key, err := client.CreateKey(ctx, Organisation, adminapi.NewKey{}, adminclient.Options{})
	return &key, errors.Annotate(err, "key")
}
