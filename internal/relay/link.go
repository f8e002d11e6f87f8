package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxAbandoned bounds the calls that were abandoned on a connection, because
	// net/rpc keeps a record of each until its reply arrives.
	maxAbandoned = 1024
	// stallTimeout is the minimum time that a call must have run for its missed
	// deadline to count as a stall of the connection. Handlers may take 100 ms.
	stallTimeout = 250 * time.Millisecond
)

// link is one client connection.
type link struct {
	// client is set once ready is closed. The codec may close the link earlier.
	client *rpc.Client
	ready  chan struct{}
	codec  *clientCodec
	// active counts the calls in progress whose callers are waiting.
	active atomic.Int64
	// abandoned counts the calls whose callers stopped waiting for the reply.
	abandoned atomic.Int64
	// retired is set once the link accepts no new calls. The link is closed after
	// the last active call.
	retired   atomic.Bool
	closeOnce sync.Once
	// onStall is called when a call misses its deadline and nothing was received since
	// it began.
	onStall func(begin clock.Time)
}

func newLink(c net.Conn, o Options) *link {
	l := &link{codec: newClientCodec(c, o), ready: make(chan struct{}), onStall: func(clock.Time) {}}
	l.codec.onLeave, l.codec.onReadError = l.retire, l.close
	l.client = rpc.NewClientWithCodec(l.codec)
	close(l.ready)
	return l
}

// acquire registers a call that must end with release. It returns false if the
// link is retired.
func (l *link) acquire() bool {
	if l.retired.Load() {
		return false
	}
	l.active.Add(1)
	if l.retired.Load() {
		l.release()
		return false
	}
	return true
}

// release ends a call and closes a retired link after the last one.
func (l *link) release() {
	if l.active.Add(-1) == 0 && l.retired.Load() {
		l.close()
	}
}

// retire refuses new calls and closes the link after the last active one.
func (l *link) retire() {
	l.retired.Store(true)
	if l.active.Load() == 0 {
		l.close()
	}
}

// close closes the connection in the background; calls in progress fail.
func (l *link) close() {
	l.retired.Store(true)
	l.closeOnce.Do(func() {
		go func() {
			<-l.ready
			_ = l.client.Close()
		}()
	})
}

var callPool = sync.Pool{New: func() any { return &call{done: make(chan *rpc.Call, 1)} }}

// do makes a call on an acquired link and releases the link.
func (l *link) do(c context.Context, method string, request, reply proto.Message) error {
	defer l.release()
	k := callPool.Get().(*call)
	k.request, k.reply, k.end = request, reply, 0
	k.state.Store(stateWaiting)
	begin := clock.Boot()
	l.client.Go(method, k, k, k.done)
	select {
	case r := <-k.done:
		return l.finish(k, r)
	case <-c.Done():
	}
	if k.state.CompareAndSwap(stateWaiting, stateAbandoned) {
		l.abandon(c, begin)
		return c.Err()
	}
	return l.finish(k, <-k.done)
}

// finish returns the error of a call that has ended and puts k back into the
// pool. A connection that failed is closed.
func (l *link) finish(k *call, r *rpc.Call) error {
	err, end := r.Error, k.end
	k.request, k.reply = nil, nil
	callPool.Put(k)
	_, answered := err.(rpc.ServerError)
	if err == nil || answered {
		l.codec.out.setArrived(end)
		return err
	}
	if end == 0 && err != rpc.ErrShutdown && err != errStreamClosed {
		return notSent(err)
	}
	l.close()
	l.codec.out.abort()
	if l.codec.out.isWritten(end) {
		return &callError{ErrInterrupted, err}
	}
	return notSent(err)
}

// abandon counts a call whose caller stops waiting. It retires the link if the
// call missed its deadline after at least stallTimeout and nothing was received
// since it began, or if maxAbandoned calls were abandoned.
func (l *link) abandon(c context.Context, begin clock.Time) {
	n := l.abandoned.Add(1)
	timedOut := errors.Is(c.Err(), context.DeadlineExceeded) && clock.Boot().Sub(begin) >= stallTimeout
	stalled := timedOut && l.silentSince(begin)
	if n >= maxAbandoned || stalled {
		l.retire()
	}
	if stalled {
		l.onStall(begin)
	}
}

// slot holds one connection to an address and dials a new one when the
// connection is retired.
type slot struct {
	current atomic.Pointer[link]

	mu sync.Mutex
	// dialling is closed when the dial in progress has ended; nil if there is
	// none.
	dialling chan struct{}
	// failures counts the consecutive failed dials.
	failures int
	// retryAt is when the back-off after a failed dial ends.
	retryAt time.Time
	// dialError is the error of the last dial; nil if it succeeded.
	dialError error
}

// get returns an acquired link. It dials if necessary and waits for a dial in
// progress.
func (s *slot) get(c context.Context, p *Pool, address string) (*link, error) {
	for {
		if l := s.current.Load(); l != nil && l.acquire() {
			return l, nil
		}
		w, err := s.dial(p, address)
		if err != nil {
			return nil, err
		}
		if w == nil {
			continue
		}
		select {
		case <-w:
		case <-c.Done():
			return nil, notSent(c.Err())
		}
	}
}

// dial starts a dial unless one is in progress. It returns a channel that is
// closed when the dial has ended, or nil if there is a usable link. During the
// back-off it returns the error of the last dial, after Pool.Close errClosed.
func (s *slot) dial(p *Pool, address string) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.current.Load(); l != nil && !l.retired.Load() {
		return nil, nil
	}
	if s.dialling != nil {
		return s.dialling, nil
	}
	if time.Now().Before(s.retryAt) {
		return nil, notSent(s.dialError)
	}
	w := make(chan struct{})
	if !p.spawn(func() { s.connect(p, address, w) }) {
		return nil, errClosed
	}
	s.dialling = w
	return w, nil
}

// connect dials, stores the new link or starts the back-off, and closes w.
func (s *slot) connect(p *Pool, address string, w chan struct{}) {
	c, stop := context.WithTimeout(p.context, p.options.DialTimeout)
	defer stop()
	n, err := p.options.Dial(c, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(w)
	s.dialling = nil
	if err != nil {
		o := p.options
		d := min(o.MinBackOff<<min(s.failures, 16), o.MaxBackOff)
		s.failures++
		s.dialError = errors.Wrapf(err, "dial %s", address)
		s.retryAt = time.Now().Add(d/2 + rand.N(d/2+1))
		return
	}
	s.failures, s.dialError, s.retryAt = 0, nil, time.Time{}
	l := newLink(n, p.options)
	l.onStall = func(begin clock.Time) { p.stalled(l, s, address, begin) }
	s.current.Store(l)
}
