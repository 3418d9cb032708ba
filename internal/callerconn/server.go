package callerconn

import (
	"net"
	"net/http"
)

// Protect bounds the connections of a server that is about to serve on lis. It returns the listener to use instead.
func Protect(srv *http.Server, lis net.Listener, cfg Config) net.Listener {
	g := New(cfg)
	next := srv.ConnState
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		g.StateChanged(c, state)
		if next != nil {
			next(c, state)
		}
	}
	return g.Listen(lis)
}
