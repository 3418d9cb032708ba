package process

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/callerconn"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/watch"
)

const (
	roleRelay = "relay"
	// relayHeaderTimeout bounds the time to read the headers of a request.
	relayHeaderTimeout = 3 * time.Second
)

// Relay is the relay role. It redirects requests for the control group to a member that has a quorum.
type Relay struct {
	watch    *watch.Client
	port     uint16 // on which the members serve operators
	listener net.Listener

	connections callerconn.Config
}

// NewRelay returns the relay role with its listener open.
func NewRelay(base *Base) (*Relay, error) {
	c := base.Config.Relay
	own, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "relay.listen")
	}
	r := &Relay{port: own.Port(), connections: connLimits(base, roleRelay)}
	r.watch = watch.New(watch.Config{
		ProcessID:   base.Config.ID,
		Incarnation: base.Incarnation,
		Role:        roleRelay,
		Zone:        base.Config.Zone,
		Control:     base.Config.ControlMembers,
		Dial:        base.Network.Dial,
		Logger:      base.Logger,
	})
	r.listener, err = net.Listen("tcp", c.Listen)
	return r, errors.Annotate(err, "relay.listen")
}

// ServeHTTP redirects the request to the watched member, or responds with 503 if none has confirmed a freshness query.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	member, err := netip.ParseAddrPort(r.watch.Member())
	if err != nil {
		http.Error(w, "no control member with a quorum is known", http.StatusServiceUnavailable)
		return
	}
	target := netip.AddrPortFrom(member.Addr(), r.port)
	w.Header().Set("Location", "http://"+target.String()+req.RequestURI)
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// Status implements Role.
func (r *Relay) Status() (ready bool, reason string) {
	if r.watch.Member() == "" {
		return false, "no control member with a quorum is known"
	}
	return true, ""
}

// Reload implements Reloader. It applies changes of control_members.
func (r *Relay) Reload(cfg *config.Config) { r.watch.AddControlMembers(cfg.ControlMembers) }

// Run implements Role.
func (r *Relay) Run(ctx context.Context) error {
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		_ = r.watch.Run(ctx) // returns only the error of its context
	}()
	srv := &http.Server{
		Handler: r, ReadHeaderTimeout: relayHeaderTimeout, ReadTimeout: operatorReadTimeout, WriteTimeout: operatorReadTimeout,
		MaxHeaderBytes: maxOperatorHeaderBytes,
	}
	err := serveUntil(ctx, srv, callerconn.Protect(srv, r.listener, r.connections))
	<-watchDone
	return errors.Annotate(err, "relay.listen")
}
