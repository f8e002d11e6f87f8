package relay

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// frameHead is the size of the two lengths that open a frame: 4 bytes for
	// the rest of the frame, 2 bytes for the header message.
	frameHead = 6
	// keepBuffer bounds the buffers that are kept for reuse, so that one large
	// message does not hold its memory for the life of the connection.
	keepBuffer = 256 << 10
	// maxError bounds an error text, because the header length has 2 bytes.
	maxError = 4 << 10
)

var (
	errTooLarge   = errors.New("message exceeds the frame size limit")
	errBufferFull = errors.New("write buffer is full")
	errStream     = errors.New("connection is closed")
)

// stream writes frames to a connection. Frames of concurrent calls that arrive
// while a write is in progress leave together in the next one.
type stream struct {
	conn    net.Conn
	limit   int
	timeout time.Duration

	mu   sync.Mutex
	work sync.Cond
	room sync.Cond
	// pending holds the frames that no write has taken yet.
	pending, spare []byte
	// queued counts the bytes ever appended to pending.
	queued int64
	// written counts the bytes that the connection has accepted. It is final
	// once done is closed.
	written int64
	closed  bool
	header  schema.RpcHeader
	done    chan struct{}
}

func newStream(c net.Conn, limit int, timeout time.Duration) *stream {
	s := &stream{conn: c, limit: limit, timeout: timeout, done: make(chan struct{})}
	s.work.L, s.room.L = &s.mu, &s.mu
	go s.run()
	return s
}

// append queues a frame and returns the stream position of its end. With wait
// it waits while the buffer is full, otherwise it returns errBufferFull. On any
// error nothing of the frame is queued.
func (s *stream) append(r header, m proto.Message, wait bool) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && len(s.pending) > s.limit {
		if !wait {
			return 0, errBufferFull
		}
		s.room.Wait()
	}
	if s.closed {
		return 0, errStream
	}
	b, err := s.encode(r, m)
	if err != nil {
		return 0, err
	}
	if len(s.pending) == 0 {
		s.work.Signal()
	}
	s.queued += int64(len(b) - len(s.pending))
	s.pending = b
	return s.queued, nil
}

// encode returns pending extended by a frame.
func (s *stream) encode(r header, m proto.Message) ([]byte, error) {
	n := len(s.pending)
	s.header.Method, s.header.Sequence, s.header.Error = r.method, r.sequence, r.fault
	b, err := proto.MarshalOptions{}.MarshalAppend(append(s.pending, make([]byte, frameHead)...), &s.header)
	if err != nil {
		return nil, errors.Wrap(err, "encode header")
	}
	h := len(b) - n - frameHead
	if m != nil {
		if b, err = (proto.MarshalOptions{}).MarshalAppend(b, m); err != nil {
			return nil, errors.Wrap(err, "encode message")
		}
	}
	if len(b)-n > s.limit || h > 1<<16-1 {
		return nil, errTooLarge
	}
	binary.BigEndian.PutUint32(b[n:], uint32(len(b)-n-4))
	binary.BigEndian.PutUint16(b[n+4:], uint16(h))
	return b, nil
}

// run writes pending frames until the stream is closed and empty, or a write
// fails; then it closes the connection.
func (s *stream) run() {
	defer close(s.done)
	defer s.conn.Close()
	for {
		b, ok := s.take()
		if !ok {
			return
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.timeout))
		n, err := s.conn.Write(b)
		s.mu.Lock()
		s.written += int64(n)
		if err != nil {
			s.closed = true
			s.pending = nil
		}
		if cap(b) <= keepBuffer {
			s.spare = b[:0]
		}
		s.room.Broadcast()
		s.mu.Unlock()
	}
}

// take waits for frames and removes them from pending.
func (s *stream) take() ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) == 0 && !s.closed {
		s.work.Wait()
	}
	b := s.pending
	s.pending, s.spare = s.spare[:0], nil
	return b, len(b) > 0
}

// close refuses further frames; frames that were accepted are still written.
func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.work.Broadcast()
	s.room.Broadcast()
}

// abort closes the connection without writing the remaining frames, and waits
// until written is final.
func (s *stream) abort() {
	s.mu.Lock()
	s.closed = true
	s.pending = nil
	s.mu.Unlock()
	s.work.Broadcast()
	s.room.Broadcast()
	_ = s.conn.Close()
	<-s.done
}

// sent reports whether the frame that ends at the given position may have
// reached the peer. Valid after abort.
func (s *stream) sent(end int64) bool {
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return end > 0 && s.written >= end
}
