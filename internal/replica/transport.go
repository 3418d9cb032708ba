package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
	"github.com/guavastack/guavastack/proto/peerpb"
)

// link sends messages to one other member, over one stream at a time.
type link struct {
	r       *Replica
	id      uint64
	address atomic.Value // string
	queue   chan *peerpb.Message
}

// sendAll queues messages on the links. Messages are dropped when a queue is full; the protocol retransmits them.
func (r *Replica) sendAll(ctx context.Context, links *sync.WaitGroup, messages []raft.Message) {
	for _, m := range messages {
		l := r.linkTo(ctx, links, m.To)
		if m.Kind == raft.InstallSnapshot {
			r.sendSnapshot(l, m)
			continue
		}
		pb := toProto(m)
		pb.FromAddress = r.cfg.Address
		l.offer(pb)
	}
}

func (r *Replica) sendSnapshot(l *link, m raft.Message) {
	snap, err := r.log.Snapshot()
	if err != nil || snap == nil {
		r.cfg.Logger.Error("control group: sending a snapshot failed", "to", m.To, "error", err)
		return
	}
	encoded, err := wal.EncodeSnapshot(*snap)
	if err != nil {
		r.cfg.Logger.Error("control group: sending a snapshot failed", "to", m.To, "error", err)
		return
	}
	for _, part := range snapshotParts(m, encoded) {
		part.FromAddress = r.cfg.Address
		l.offer(part)
	}
}

// linkTo returns the link to a member, which it starts if necessary, with its address up to date.
func (r *Replica) linkTo(ctx context.Context, links *sync.WaitGroup, id uint64) *link {
	l := r.links[id]
	if l == nil {
		l = &link{r: r, id: id, queue: make(chan *peerpb.Message, linkQueueSize)}
		r.links[id] = l
		l.address.Store("")
		links.Add(1)
		go func() {
			defer links.Done()
			l.run(ctx)
		}()
	}
	if address := r.addressOf(id); address != l.address.Load() {
		l.address.Store(address)
	}
	return l
}

// addressOf must be called only in the goroutine of Run.
func (r *Replica) addressOf(id uint64) string {
	for _, m := range r.cfg.Members {
		if m.ID == id && m.Address != "" {
			return m.Address
		}
	}
	if m, _ := r.node.Member(id); m.Address != "" {
		return m.Address
	}
	return r.senders.sender(id).Address
}

func (l *link) offer(m *peerpb.Message) {
	select {
	case l.queue <- m:
	default:
	}
}

// run connects to the member whenever a message is queued, at most once per heartbeat interval.
func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			l.connect(ctx, m)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.r.cfg.HeartbeatInterval):
		}
	}
}

// connect opens a stream and sends first and the messages queued after it, until the stream fails or acknowledgements time out.
func (l *link) connect(ctx context.Context, first *peerpb.Message) {
	address, _ := l.address.Load().(string)
	if address == "" {
		return
	}
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := l.r.cfg.Dial(dialCtx, address)
	if err != nil {
		l.r.cfg.Logger.Debug("control group: connecting to a member failed", "to", l.id, "address", address, "error", err)
		return
	}
	rpc := drpcconn.New(conn)
	defer func() { _ = rpc.Close() }()
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerpb.NewDRPCPeerClient(rpc).Exchange(streamCtx)
	if err != nil {
		return
	}
	s := &sendStream{stream: stream, timeout: l.r.cfg.PeerTimeout, abort: func() { _ = conn.Close(); cancel() }}
	s.pump(streamCtx, first, l.queue)
}

// sendStream sends messages on one stream and aborts it if acknowledgements time out.
type sendStream struct {
	stream  peerpb.DRPCPeer_ExchangeClient
	timeout time.Duration
	abort   func()

	mu    sync.Mutex
	sent  uint64
	acked uint64
	since time.Time // when the oldest unacknowledged message was sent or the last acknowledgement arrived, whichever is later
}

func (s *sendStream) pump(ctx context.Context, first *peerpb.Message, queue <-chan *peerpb.Message) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer s.abort()
	wg.Add(2)
	go func() { defer wg.Done(); s.receive() }()
	go func() { defer wg.Done(); s.watch(ctx) }()
	for m := first; ; {
		s.recordSent()
		if err := s.stream.Send(m); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case m = <-queue:
		}
	}
}

func (s *sendStream) recordSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == s.acked {
		s.since = time.Now()
	}
	s.sent++
}

// receive processes acknowledgements until the stream fails.
func (s *sendStream) receive() {
	defer s.abort()
	for {
		ack, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.acked = ack.Received
		s.since = time.Now()
		s.mu.Unlock()
	}
}

// watch aborts the stream when acknowledgements time out: one direction of a connection may stop delivering without an
// error while new connections work.
func (s *sendStream) watch(ctx context.Context) {
	ticker := time.NewTicker(s.timeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		timedOut := s.sent > s.acked && time.Since(s.since) > s.timeout
		s.mu.Unlock()
		if timedOut {
			s.abort()
			return
		}
	}
}

// peerServer receives messages from other members.
type peerServer struct{ r *Replica }

// Exchange receives the messages of one sender and acknowledges each.
func (s peerServer) Exchange(stream peerpb.DRPCPeer_ExchangeStream) error {
	var from uint64
	var assembler snapshotAssembler
	var received uint64
	defer func() { s.r.streams.remove(from, stream) }()
	for {
		pb, err := stream.Recv()
		if err != nil {
			return err
		}
		received++
		if from == 0 {
			from = pb.From
			s.r.streams.replace(from, stream)
		}
		if err := s.enqueue(pb, &assembler); err != nil {
			return err
		}
		if err := stream.Send(&peerpb.Ack{Received: received}); err != nil {
			return err
		}
	}
}

// enqueue passes one message to the loop, a snapshot once all of its parts have arrived.
func (s peerServer) enqueue(pb *peerpb.Message, assembler *snapshotAssembler) error {
	if pb.Group == s.r.cfg.GroupID {
		s.r.senders.record(pb, clock.Now())
	}
	m := fromProto(pb)
	if m.Kind == raft.InstallSnapshot {
		m.Context = 0
		snap, err := assembler.add(pb)
		if err != nil || snap == nil {
			return err
		}
		m.Snapshot = snap
	}
	select {
	case s.r.inbox <- m:
		return nil
	case <-s.r.done:
		return ErrClosed
	}
}

// streamTable holds the newest incoming stream of each sender. A new stream closes the previous one, which might otherwise hang
// forever.
type streamTable struct {
	mu      sync.Mutex
	streams map[uint64]peerpb.DRPCPeer_ExchangeStream
}

func (t *streamTable) replace(from uint64, stream peerpb.DRPCPeer_ExchangeStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams == nil {
		t.streams = make(map[uint64]peerpb.DRPCPeer_ExchangeStream)
	}
	if old := t.streams[from]; old != nil {
		go func() { _ = old.Close() }()
	}
	t.streams[from] = stream
}

func (t *streamTable) remove(from uint64, stream peerpb.DRPCPeer_ExchangeStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams[from] == stream {
		delete(t.streams, from)
	}
}

func (t *streamTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.streams {
		go func() { _ = s.Close() }()
	}
}
