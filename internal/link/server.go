package link

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/guavastack/guavastack/proto/linkpb"
)

const (
	// maxSessionFrames bounds the frames that wait for a link which does not take them.
	maxSessionFrames = 1 << 16
	// eventChunkBytes is the most that one frame takes from one answer before the next answer has its turn.
	eventChunkBytes = 32 << 10
	// greetTimeout bounds the wait for the first frame of a new link.
	greetTimeout = 5 * time.Second
)

// Acceptor is the agent as its links see it. The methods may be called concurrently for different sessions.
type Acceptor interface {
	// Open admits a link before any of its frames and returns its welcome, nil to refuse it.
	Open(s *Session, hello *linkpb.Hello) *linkpb.Welcome
	// Frame takes one frame, which it owns.
	Frame(s *Session, f *linkpb.EntryFrame)
	// Closed is called once after the last frame of a session that was opened.
	Closed(s *Session)
	// Load returns the load that goes with each answer to a ping.
	Load() *linkpb.Load

	Order(ctx context.Context, o *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error)
	SetLifecycle(ctx context.Context, r *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error)
}

// Server accepts the links of entries.
type Server struct {
	acceptor Acceptor
	drpc     *drpcserver.Server
}

// NewServer returns a Server that hands its links to a.
func NewServer(a Acceptor, logger *slog.Logger) (*Server, error) {
	s := &Server{acceptor: a}
	mux := drpcmux.New()
	if err := linkpb.DRPCRegisterAgentLink(mux, s); err != nil {
		return nil, errors.Annotate(err, "register the link service")
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { logger.Debug("link ended", "error", err) },
	})
	return s, nil
}

// Serve accepts links on lis until ctx ends; then it closes all of them. The listener decides who may connect.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	return errors.Trace(s.drpc.Serve(ctx, lis))
}

// Connect serves one link.
func (s *Server) Connect(stream linkpb.DRPCAgentLink_ConnectStream) error {
	session := &Session{stream: stream, wake: make(chan struct{}, 1), done: make(chan struct{})}
	greeting := time.AfterFunc(greetTimeout, session.Close)
	first, err := stream.Recv()
	greeting.Stop()
	if err != nil {
		return errors.Trace(err)
	}
	if len(first.Frames) != 1 || first.Frames[0].Hello == nil {
		return errors.NotValidf("first frame of the entry")
	}
	session.touch()
	session.hello = first.Frames[0].Hello
	welcome := s.acceptor.Open(session, session.hello)
	if welcome == nil {
		return errors.New("link has an older epoch")
	}
	defer s.acceptor.Closed(session)
	session.Send(&linkpb.AgentFrame{Welcome: welcome})

	var wg sync.WaitGroup
	wg.Go(session.write)
	err = s.read(session)
	session.Close()
	wg.Wait()
	return err
}

func (s *Server) read(session *Session) error {
	for {
		m, err := session.stream.Recv()
		if err != nil {
			return errors.Trace(err)
		}
		session.touch()
		for _, f := range m.Frames {
			s.take(session, f)
		}
	}
}

func (s *Server) take(session *Session, f *linkpb.EntryFrame) {
	if f.Ping == nil {
		s.acceptor.Frame(session, f)
		return
	}
	session.Send(&linkpb.AgentFrame{Pong: &linkpb.Pong{Nonce: f.Ping.Nonce}, Load: s.acceptor.Load()})
}

// Order passes an engine order on.
func (s *Server) Order(ctx context.Context, o *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error) {
	return s.acceptor.Order(ctx, o)
}

// SetLifecycle passes a lifecycle request on.
func (s *Server) SetLifecycle(ctx context.Context, r *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error) {
	return s.acceptor.SetLifecycle(ctx, r)
}

// Source is an answer that a session sends. Next returns its next frame, of no more than about maxBytes of data,
// or nil when it has none now. The writer calls it from one goroutine; the frame is its until the next call.
type Source interface {
	Next(maxBytes int) *linkpb.AgentFrame
}

// Session is the agent's end of one link.
type Session struct {
	stream   linkpb.DRPCAgentLink_ConnectStream
	hello    *linkpb.Hello
	lastRecv atomic.Int64 // unix nanoseconds

	mu     sync.Mutex
	frames []*linkpb.AgentFrame
	ready  []Source
	queued map[Source]bool
	closed bool

	// Owned by the writer.
	message     linkpb.AgentFrames
	spareFrames []*linkpb.AgentFrame
	spareReady  []Source

	wake chan struct{}
	done chan struct{}
}

// Hello returns what the entry said of itself.
func (s *Session) Hello() *linkpb.Hello { return s.hello }

// LastReceived returns when the last frame came.
func (s *Session) LastReceived() time.Time { return time.Unix(0, s.lastRecv.Load()) }

func (s *Session) touch() { s.lastRecv.Store(time.Now().UnixNano()) }

// Send queues a frame. A link that does not take its frames is closed.
func (s *Session) Send(f *linkpb.AgentFrame) {
	s.mu.Lock()
	overflow := len(s.frames) >= maxSessionFrames
	if !overflow {
		s.frames = append(s.frames, f)
	}
	s.mu.Unlock()
	if overflow {
		s.Close()
		return
	}
	s.signal()
}

// Wake lets the writer ask src for frames.
func (s *Session) Wake(src Source) {
	s.mu.Lock()
	if s.queued == nil {
		s.queued = make(map[Source]bool)
	}
	if s.queued[src] {
		s.mu.Unlock()
		return
	}
	s.queued[src] = true
	s.ready = append(s.ready, src)
	s.mu.Unlock()
	s.signal()
}

func (s *Session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close ends the link; the entry may open another.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if t, ok := transport(s.stream); ok {
		go t.Close() // TLS may write for seconds first, and the agent's loop must not wait
	}
}

// write sends what waits, as many frames in one message as wait.
func (s *Session) write() {
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		for {
			m := s.batch()
			if len(m.Frames) == 0 {
				break
			}
			if err := s.stream.Send(m); err != nil {
				s.Close()
				return
			}
		}
	}
}

// batch takes the frames that wait, then a chunk of each answer in turn, up to about batchBytes. The answers that had
// their turn queue again behind the others.
func (s *Session) batch() *linkpb.AgentFrames {
	frames, sources := s.take()
	m := &s.message
	m.Frames = append(m.Frames[:0], frames...)
	size := 0
	for i, src := range sources {
		if size >= batchBytes {
			s.putBack(sources[i:])
			break
		}
		if f := src.Next(eventChunkBytes); f != nil {
			m.Frames = append(m.Frames, f)
			size += f.SizeVT()
			s.Wake(src)
		}
	}
	return m
}

// take returns all that waits.
func (s *Session) take() ([]*linkpb.AgentFrame, []Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames, sources := s.frames, s.ready
	s.frames, s.ready = s.spareFrames[:0], s.spareReady[:0]
	s.spareFrames, s.spareReady = frames, sources
	clear(s.queued)
	return frames, sources
}

// putBack queues sources whose turn did not come, before those that were woken since.
func (s *Session) putBack(sources []Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first []Source
	for _, src := range sources {
		if !s.queued[src] {
			s.queued[src] = true
			first = append(first, src)
		}
	}
	s.ready = append(first, s.ready...)
}
