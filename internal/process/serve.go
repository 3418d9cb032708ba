package process

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// serveInBackground serves on lis in the background until stop is called.
func serveInBackground(lis net.Listener, srv *http.Server) (stop func()) {
	go func() { _ = srv.Serve(lis) }() // returns after Close
	return func() { _ = srv.Close() }
}

// serveUntil serves on lis until ctx is done.
func serveUntil(ctx context.Context, srv *http.Server, lis net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
