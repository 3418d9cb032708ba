// Package admin serves the operators' HTTP API of a control member.
//
// Every member serves the API. Changes of settings are forwarded to the leader, and a change that is resent under its change id
// gets the first outcome. Changes of the control group's members succeed only on the leader.
package admin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/operate"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// Limits and timeouts of requests.
const (
	maxBodyBytes      = 4 << 20
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 20 * time.Second
	writeTimeout      = 60 * time.Second
	idleTimeout       = 90 * time.Second
	changeTimeout     = 10 * time.Second // of one change, including retries
	attemptTimeout    = 2 * time.Second  // of one proposal of a change
	confirmTimeout    = time.Second      // for the quorum to confirm a read; without it the response is unconfirmed
	defaultWait       = time.Second      // until a change is in force everywhere
	maxWait           = 30 * time.Second
	retryDelay        = 100 * time.Millisecond // between two proposals of a change
)

// Control is the part of the control member that the API uses. control.Service implements it.
type Control interface {
	Propose(ctx context.Context, req *controlpb.ProposeRequest) (*controlpb.ProposeReply, error)
	Tree() *settings.Tree
	Confirm(ctx context.Context) (*settings.Tree, error)
	History(limit int) []settings.HistoryEntry
	Processes() []member.Process
	Behind(v settings.Version) []member.Process
	WaitInForce(ctx context.Context, v settings.Version) []member.Process
	Backends() []*controlpb.BackendServer
	ZoneDrains() *zonedrain.List
	Leader() (control.Member, bool)
	Self() control.Member
}

// Operations provides the state of the fleet, orders and billing. operate.Operator implements it.
type Operations interface {
	FleetStatus() operate.FleetStatus
	Orders() []duty.Order
	Windows(limit int) ([]operate.WindowUsage, error)
}

// Config configures a Server.
type Config struct {
	Control    Control
	Operations Operations // nil: /v1/usage, /v1/orders and /v1/fleet aren't served
	Tokens     []Token
	Replica    func() any                      // status of the replica, to be encoded in JSON; nil: none
	Group      func() adminapi.Group           // losses that the control group tolerates; nil: not served
	Membership Membership                      // nil: the routes for changing members aren't served
	Backup     func() ([]byte, error)          // nil: /v1/backup isn't served
	Mounts     map[string]http.Handler         // other paths of the same listener, such as /metrics
	Logger     *slog.Logger                    // audit log of changes; nil: none
	TLS        func(net.Listener) net.Listener // nil: none, on loopback only
	Memory     *requestmemory.Memory           // of the bodies of requests; nil: not bounded
	// Protect bounds the connections of the server on a listener; nil: not bounded.
	Protect func(*http.Server, net.Listener) net.Listener
}

// Server is the operators' API.
type Server struct {
	cfg     Config
	handler http.Handler
}

// New returns a server. It returns an error for an invalid token.
func New(cfg Config) (*Server, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	for _, t := range cfg.Tokens {
		if err := t.validate(); err != nil {
			return nil, err
		}
	}
	s := &Server{cfg: cfg}
	ws := s.webService()
	doc, err := openAPIDocument(ws)
	if err != nil {
		return nil, errors.Annotate(err, "build the OpenAPI document")
	}
	container := restful.NewContainer()
	container.Add(ws)
	container.ServiceErrorHandler(serviceError)
	mux := http.NewServeMux()
	mux.Handle("/v1/", acceptEscapedSlashes(container))
	mux.HandleFunc("GET /openapi.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(doc)
	})
	for path, h := range cfg.Mounts {
		mux.Handle(path, h)
	}
	s.handler = mux
	if cfg.Memory != nil {
		s.handler = cfg.Memory.Handler(mux)
	}
	return s, nil
}

// Handler returns the handler of the API.
func (s *Server) Handler() http.Handler { return s.handler }

// Serve serves the API on lis until ctx ends. Without TLS it refuses a listener that is not on a loopback address.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	if s.cfg.TLS == nil && !isLoopback(lis.Addr()) {
		return errors.NotValidf("operators' API on %s, which is not a loopback address, without TLS", lis.Addr())
	}
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	if s.cfg.Protect != nil {
		lis = s.cfg.Protect(server, lis)
	}
	if s.cfg.TLS != nil {
		lis = s.cfg.TLS(lis)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		drain, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		_ = server.Shutdown(drain)
	}()
	err := server.Serve(lis)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return err
}

func isLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
