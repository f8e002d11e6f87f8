package relay

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/sock/linger"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// prefixSize is the size in bytes of the two lengths at the start of a frame:
	// 4 bytes for the rest of the frame, 2 bytes for the header.
	prefixSize = 6
	// maxReusedBuffer is the size in bytes up to which a buffer is reused, so
	// that one large message doesn't occupy memory as long as the connection
	// exists.
	maxReusedBuffer = 256 << 10
	// maxErrorText bounds an error text in bytes, because the length of the
	// header, which contains it, has only 2 bytes.
	maxErrorText = 4 << 10
)

var (
	errTooLarge     = errors.New("message exceeds the frame size limit")
	errBufferFull   = errors.New("write buffer is full")
	errStreamClosed = errors.New("connection is closed")
)

// stream writes frames to a connection. Frames that are appended while a write
// is in progress are combined into the next write.
type stream struct {
	conn net.Conn
	// limit bounds the bytes of a frame. While more bytes are pending, append
	// waits or fails.
	limit   int
	timeout time.Duration
	// linger bounds the time for which run waits after the last frame until the peer has
	// closed the connection, before it closes it. 0 means that it doesn't wait.
	linger time.Duration

	mu sync.Mutex
	// notEmpty is signalled when frames are pending, notFull when a write has
	// ended; both when the stream is closed.
	notEmpty sync.Cond
	notFull  sync.Cond
	// pending holds the frames that are not being written yet. It is swapped
	// with spare, the reusable buffer of the last write.
	pending, spare []byte
	// queued counts all bytes that were appended to pending.
	queued int64
	// written counts the bytes that were written to the connection. It no longer
	// changes once done is closed.
	written int64
	closed  bool
	// hold is told of changes of held, the bytes that are pending or being written, the
	// latter of which are writing.
	hold          func(n int64)
	held, writing int
	// arrived is the highest position that the peer is known to have received.
	arrived atomic.Int64
	// sendingUntil is when the large frames are sent at the latest.
	sendingUntil clock.Time
	// header is reused by encode.
	header schema.RpcHeader
	// done is closed when run returns.
	done chan struct{}
}

func newStream(c net.Conn, o Options, linger time.Duration) *stream {
	s := &stream{conn: c, limit: o.MaxFrame, timeout: o.WriteTimeout, linger: linger, hold: o.Hold, done: make(chan struct{})}
	s.notEmpty.L, s.notFull.L = &s.mu, &s.mu
	go s.run()
	return s
}

// append queues a frame and returns the stream position of its end. While the
// buffer is full it waits if wait is true, otherwise it returns errBufferFull. If
// it returns an error, no part of the frame is queued.
func (s *stream) append(r header, m proto.Message, wait bool) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && len(s.pending) > s.limit {
		if !wait {
			return 0, errBufferFull
		}
		s.notFull.Wait()
	}
	if s.closed {
		return 0, errStreamClosed
	}
	b, err := s.encode(r, m)
	if err != nil {
		return 0, err
	}
	if len(s.pending) == 0 {
		s.notEmpty.Signal()
	}
	size := len(b) - len(s.pending)
	s.queued += int64(size)
	s.pending = b
	s.count()
	if size >= largeFrame {
		left := float64(s.queued - s.arrived.Load())
		s.sendingUntil = max(s.sendingUntil, clock.Boot().Add(time.Duration(left/minBandwidth*float64(time.Second))))
	}
	return s.queued, nil
}

// count reports the bytes that are held. The caller holds mu.
func (s *stream) count() {
	n := len(s.pending) + s.writing
	if n != s.held {
		s.hold(int64(n - s.held))
		s.held = n
	}
}

// setArrived records that the peer has received the frame that ends at the given position,
// and so all before it.
func (s *stream) setArrived(end int64) {
	for {
		old := s.arrived.Load()
		if end <= old || s.arrived.CompareAndSwap(old, end) {
			return
		}
	}
}

// isSending reports whether a large frame may still be on its way.
func (s *stream) isSending(now clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.sendingUntil
}

// encode returns pending with a frame appended. On an error pending is unchanged.
func (s *stream) encode(r header, m proto.Message) ([]byte, error) {
	n := len(s.pending)
	s.header.Method, s.header.Sequence, s.header.Error = r.method, r.sequence, r.errorText
	b, err := proto.MarshalOptions{}.MarshalAppend(append(s.pending, make([]byte, prefixSize)...), &s.header)
	if err != nil {
		return nil, errors.Wrap(err, "encode header")
	}
	h := len(b) - n - prefixSize
	if m != nil {
		// A message that is too large is not copied first.
		if proto.Size(m) > s.limit {
			return nil, errTooLarge
		}
		if b, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(b, m); err != nil {
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

// run writes pending frames until the stream is closed and no frames are pending,
// or until a write fails. Then it closes the connection.
func (s *stream) run() {
	defer close(s.done)
	defer s.conn.Close()
	for {
		b, ok := s.nextBatch()
		if !ok {
			break
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.timeout))
		n, err := s.conn.Write(b)
		s.mu.Lock()
		s.written += int64(n)
		s.writing = 0
		if err != nil {
			s.closed, s.linger = true, 0
			s.pending = nil
		}
		s.count()
		if cap(b) <= maxReusedBuffer {
			s.spare = b[:0]
		}
		s.notFull.Broadcast()
		s.mu.Unlock()
	}
	if s.linger > 0 {
		_ = linger.Close(s.conn, s.linger) // the peer has closed it, or gets no more
	}
}

// nextBatch waits for frames and removes all of them from pending. It returns
// false if the stream is closed and no frames are pending.
func (s *stream) nextBatch() ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) == 0 && !s.closed {
		s.notEmpty.Wait()
	}
	b := s.pending
	s.pending, s.spare, s.writing = s.spare[:0], nil, len(b)
	s.count()
	return b, len(b) > 0
}

// close refuses new frames. Pending frames are still written. If linger is set, nobody
// else may read from the connection any more.
func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.notEmpty.Broadcast()
	s.notFull.Broadcast()
}

// abort closes the connection without writing the pending frames and waits until
// run has returned.
func (s *stream) abort() {
	s.mu.Lock()
	s.closed = true
	s.pending = nil
	s.count()
	s.mu.Unlock()
	s.notEmpty.Broadcast()
	s.notFull.Broadcast()
	_ = s.conn.Close()
	<-s.done
}

// isWritten reports whether the frame that ends at the given position was written
// completely, so that the peer may have received it. It waits until run has
// returned.
func (s *stream) isWritten(end int64) bool {
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return end > 0 && s.written >= end
}
