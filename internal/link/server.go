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
	// maxSessionFrames bounds the frames queued for a link; beyond it the link is closed.
	maxSessionFrames = 1 << 16
	// eventChunkBytes bounds the data that one frame takes from an answer before the writer turns to the next answer.
	eventChunkBytes = 32 << 10
	// helloTimeout bounds the wait for the Hello of a new link.
	helloTimeout = 5 * time.Second
)

// Acceptor is the agent's interface to its links. Its methods may be called concurrently for different sessions.
type Acceptor interface {
	// Open is called before any other frame of a link. It returns the Welcome, or nil to refuse the link.
	Open(s *Session, hello *linkpb.Hello) *linkpb.Welcome
	// Frame handles one frame, which it may keep.
	Frame(s *Session, f *linkpb.EntryFrame)
	// Closed is called once after the last frame of an admitted session.
	Closed(s *Session)
	// Load returns the load that is sent with each Pong.
	Load() *linkpb.Load

	// Order and SetLifecycle handle calls of the control leader.
	Order(ctx context.Context, o *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error)
	SetLifecycle(ctx context.Context, r *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error)
}

// Server accepts the links of entries.
type Server struct {
	acceptor Acceptor
	drpc     *drpcserver.Server
}

// NewServer returns a Server that passes its links to a.
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

// Serve accepts links on lis until ctx ends; then it closes all of them. The listener decides which peers may connect.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	return errors.Trace(s.drpc.Serve(ctx, lis))
}

// Connect serves one link until it ends. It implements the drpc service.
func (s *Server) Connect(stream linkpb.DRPCAgentLink_ConnectStream) error {
	session := &Session{stream: stream, wake: make(chan struct{}, 1), done: make(chan struct{})}
	helloTimer := time.AfterFunc(helloTimeout, session.Close)
	first, err := stream.Recv()
	helloTimer.Stop()
	if err != nil {
		return errors.Trace(err)
	}
	if len(first.Frames) != 1 || first.Frames[0].Hello == nil {
		return errors.NotValidf("first frame of the entry (expected one Hello)")
	}
	session.recordReceived()
	session.hello = first.Frames[0].Hello
	welcome := s.acceptor.Open(session, session.hello)
	if welcome == nil {
		return errors.New("link refused: its epoch is not newer, or the agent is stopping")
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
		session.recordReceived()
		for _, f := range m.Frames {
			s.handleFrame(session, f)
		}
	}
}

func (s *Server) handleFrame(session *Session, f *linkpb.EntryFrame) {
	if f.Ping == nil {
		s.acceptor.Frame(session, f)
		return
	}
	session.Send(&linkpb.AgentFrame{Pong: &linkpb.Pong{Nonce: f.Ping.Nonce}, Load: s.acceptor.Load()})
}

// Order forwards an engine order to the Acceptor.
func (s *Server) Order(ctx context.Context, o *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error) {
	return s.acceptor.Order(ctx, o)
}

// SetLifecycle forwards a lifecycle request to the Acceptor.
func (s *Server) SetLifecycle(ctx context.Context, r *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error) {
	return s.acceptor.SetLifecycle(ctx, r)
}

// Source supplies the frames of one answer. Next returns the next frame, with about maxBytes of data at most, or nil if
// it has none at present. The writer calls it from one goroutine; the frame stays valid until the next call.
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

	// Accessed only by the writer goroutine.
	message     linkpb.AgentFrames
	spareFrames []*linkpb.AgentFrame
	spareReady  []Source

	wake chan struct{}
	done chan struct{}
}

// Hello returns the Hello of the entry.
func (s *Session) Hello() *linkpb.Hello { return s.hello }

// LastReceived returns when the last frame was received.
func (s *Session) LastReceived() time.Time { return time.Unix(0, s.lastRecv.Load()) }

func (s *Session) recordReceived() { s.lastRecv.Store(time.Now().UnixNano()) }

// Send queues a frame. If maxSessionFrames are queued already, it closes the link instead.
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

// Wake makes the writer poll src for frames.
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

// Close closes the link; the entry may open another one. It does not block.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if t, ok := transport(s.stream); ok {
		go t.Close() // closing TLS may block for seconds, and the agent's loop must not wait for it
	}
}

// write sends queued frames and the answers of woken sources, batched into messages of about batchBytes.
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

// batch returns a message of all queued frames and then one chunk of each woken answer, up to about batchBytes. Answers
// that supplied a chunk are queued again behind the others.
func (s *Session) batch() *linkpb.AgentFrames {
	frames, sources := s.takeQueued()
	m := &s.message
	m.Frames = append(m.Frames[:0], frames...)
	size := 0
	for i, src := range sources {
		if size >= batchBytes {
			s.requeue(sources[i:])
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

// takeQueued removes and returns all queued frames and sources.
func (s *Session) takeQueued() ([]*linkpb.AgentFrame, []Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames, sources := s.frames, s.ready
	s.frames, s.ready = s.spareFrames[:0], s.spareReady[:0]
	s.spareFrames, s.spareReady = frames, sources
	clear(s.queued)
	return frames, sources
}

// requeue puts sources that were not polled back at the front of the queue, before those woken since.
func (s *Session) requeue(sources []Source) {
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
