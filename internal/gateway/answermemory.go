package gateway

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/upstream"
)

const (
	// maxBufferedBytes bounds an answer that is buffered until it is complete. A larger one is not relayed.
	maxBufferedBytes = 1 << 20
	// smallAnswerBytes bounds the part of an answer that is buffered without a reservation.
	smallAnswerBytes = 32 << 10
	// answerMemoryBytes bounds the reservations of all buffered answers together, and serverAnswerBytes those of one backend server.
	answerMemoryBytes = 16 << 20
	serverAnswerBytes = answerMemoryBytes / 4
)

// answerMemory bounds the memory of buffered answers and events, however many backend servers send large ones at a time. An answer holds at most one
// reservation, for all that it may need, so that each one that has it can be completed. It is safe for concurrent use.
type answerMemory struct {
	mu       sync.Mutex
	reserved int
	byServer map[string]int
	waiting  int
	freed    chan struct{} // closed and replaced when a reservation ends
}

func newAnswerMemory() *answerMemory {
	return &answerMemory{byServer: make(map[string]int), freed: make(chan struct{})}
}

// reserve waits until n bytes are free for an answer of a server. It returns the function that ends the reservation, or an error once ctx
// is done.
func (m *answerMemory) reserve(ctx context.Context, server string, n int) (release func(), err error) {
	for {
		freed, ok := m.tryReserve(server, n)
		if ok {
			return func() { m.release(server, n) }, nil
		}
		select {
		case <-freed:
			m.addWaiting(-1)
		case <-ctx.Done():
			m.addWaiting(-1)
			return nil, context.Cause(ctx)
		}
	}
}

// tryReserve reserves n bytes, or counts the answer as waiting and returns the channel that is closed when a reservation ends.
func (m *answerMemory) tryReserve(server string, n int) (freed <-chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved+n > answerMemoryBytes || m.byServer[server]+n > serverAnswerBytes {
		m.waiting++
		return m.freed, false
	}
	m.reserved += n
	m.byServer[server] += n
	return nil, true
}

func (m *answerMemory) release(server string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved -= n
	m.byServer[server] -= n
	if m.byServer[server] == 0 {
		delete(m.byServer, server)
	}
	close(m.freed)
	m.freed = make(chan struct{})
}

func (m *answerMemory) addWaiting(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting += n
}

// errAnswerTooLarge means that an answer exceeds maxBufferedBytes.
const errAnswerTooLarge = errors.ConstError("answer exceeds the size limit")

// readBuffered reads the body of an answer of a server. While there is no memory for a large one, it doesn't read on. The caller must call
// release once it no longer needs the body.
func (m *answerMemory) readBuffered(ctx context.Context, server string, answer *upstream.Answer) (body []byte, release func(), err error) {
	release = func() {}
	if answer.Length > maxBufferedBytes {
		return nil, release, errAnswerTooLarge
	}
	var buffer bytes.Buffer
	_, err = buffer.ReadFrom(io.LimitReader(answer, smallAnswerBytes))
	if err != nil || buffer.Len() < smallAnswerBytes {
		return buffer.Bytes(), release, err
	}
	size := maxBufferedBytes
	if answer.Length >= 0 {
		size = int(answer.Length)
	}
	if release, err = m.reserve(ctx, server, size); err != nil {
		return nil, func() {}, err
	}
	buffer.Grow(size - buffer.Len() + bytes.MinRead) // a buffer that grows by itself may take twice its size
	_, err = buffer.ReadFrom(io.LimitReader(answer, maxBufferedBytes+1-smallAnswerBytes))
	if err == nil && buffer.Len() > maxBufferedBytes {
		err = errAnswerTooLarge
	}
	return buffer.Bytes(), release, err
}

// eventMemory is the reservation for the incomplete event of a stream.
type eventMemory struct {
	memory  *answerMemory
	server  string
	release func() // nil: nothing is reserved
}

// adjust makes or ends the reservation for an incomplete event of the given size.
func (e *eventMemory) adjust(ctx context.Context, size int) (err error) {
	switch {
	case size <= smallAnswerBytes:
		e.end()
	case e.release == nil:
		e.release, err = e.memory.reserve(ctx, e.server, maxEventBytes)
	}
	return err
}

// end ends the reservation, if there is one.
func (e *eventMemory) end() {
	if e.release != nil {
		e.release()
		e.release = nil
	}
}
