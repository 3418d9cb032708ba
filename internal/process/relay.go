package process

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/watch"
)

const (
	roleRelay = "relay"
	// relayHeaderTimeout bounds how long a caller may take for the head of a call.
	relayHeaderTimeout = 3 * time.Second
)

// Relay is the relay role: it answers calls to the control group with the address of a member that can take them.
type Relay struct {
	watch    *watch.Client
	port     uint16 // of the members' addresses for operators
	listener net.Listener
}

// NewRelay returns the relay role, which listens already.
func NewRelay(base *Base) (*Relay, error) {
	c := base.Config.Relay
	own, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "relay.listen")
	}
	r := &Relay{port: own.Port()}
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

// ServeHTTP sends the caller on to a member, or answers 503 while none is known.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	member, err := netip.ParseAddrPort(r.watch.Member())
	if err != nil {
		http.Error(w, "no control member is known to reach the group", http.StatusServiceUnavailable)
		return
	}
	to := netip.AddrPortFrom(member.Addr(), r.port)
	w.Header().Set("Location", "http://"+to.String()+req.RequestURI)
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// Status implements Role.
func (r *Relay) Status() (ready bool, reason string) {
	if r.watch.Member() == "" {
		return false, "no control member is known to reach the group"
	}
	return true, ""
}

// Reload implements Reloader: other control members may be named.
func (r *Relay) Reload(cfg *config.Config) { r.watch.SetSeeds(cfg.ControlMembers) }

// Run implements Role.
func (r *Relay) Run(ctx context.Context) error {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = r.watch.Run(ctx) // ends with its context
	}()
	srv := &http.Server{Handler: r, ReadHeaderTimeout: relayHeaderTimeout}
	err := serveUntil(ctx, srv, r.listener)
	<-watched
	return errors.Annotate(err, "relay.listen")
}
