package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxAbandoned bounds the calls of a connection whose callers have gone and
	// whose replies are outstanding; net/rpc keeps a record of each.
	maxAbandoned = 1024
	// stallAfter is the shortest silence that makes a call that ran out of time
	// count against the connection. Handlers may well need 100 ms.
	stallAfter = 250 * time.Millisecond
)

// link is one client connection.
type link struct {
	// client is set once ready is closed. The codec may close the link before.
	client *rpc.Client
	ready  chan struct{}
	codec  *clientCodec
	// live counts the calls in progress whose callers wait.
	live      atomic.Int64
	abandoned atomic.Int64
	// retired links take no new call and close after the last one.
	retired atomic.Bool
	once    sync.Once
}

func newLink(c net.Conn, o Options) *link {
	l := &link{codec: newClientCodec(c, o), ready: make(chan struct{})}
	l.codec.leave, l.codec.lost = l.retire, l.close
	l.client = rpc.NewClientWithCodec(l.codec)
	close(l.ready)
	return l
}

// enter counts a call in; false if the link takes no more calls.
func (l *link) enter() bool {
	if l.retired.Load() {
		return false
	}
	l.live.Add(1)
	if l.retired.Load() {
		l.exit()
		return false
	}
	return true
}

func (l *link) exit() {
	if l.live.Add(-1) == 0 && l.retired.Load() {
		l.close()
	}
}

func (l *link) retire() {
	l.retired.Store(true)
	if l.live.Load() == 0 {
		l.close()
	}
}

// close ends the connection; calls in progress fail.
func (l *link) close() {
	l.retired.Store(true)
	l.once.Do(func() {
		go func() {
			<-l.ready
			_ = l.client.Close()
		}()
	})
}

var calls = sync.Pool{New: func() any { return &call{done: make(chan *rpc.Call, 1)} }}

// do makes a call; the caller has entered the link.
func (l *link) do(c context.Context, method string, request, reply proto.Message) error {
	defer l.exit()
	k := calls.Get().(*call)
	k.request, k.reply, k.end = request, reply, 0
	k.state.Store(stateWaiting)
	begin := time.Now()
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

// finish classifies the end of a call and reuses its record.
func (l *link) finish(k *call, r *rpc.Call) error {
	err, end := r.Error, k.end
	k.request, k.reply = nil, nil
	calls.Put(k)
	if err == nil {
		return nil
	}
	if _, ok := err.(rpc.ServerError); ok {
		return err
	}
	if end == 0 && err != rpc.ErrShutdown && err != errStream {
		return notSent(err)
	}
	l.close()
	l.codec.out.abort()
	if l.codec.out.sent(end) {
		return &callError{ErrInterrupted, err}
	}
	return notSent(err)
}

// abandon accounts for a call whose caller has gone. A connection that was
// silent while a call ran out of time, or that owes many replies, is replaced.
func (l *link) abandon(c context.Context, begin time.Time) {
	n := l.abandoned.Add(1)
	late := errors.Is(c.Err(), context.DeadlineExceeded) && time.Since(begin) >= stallAfter
	if n >= maxAbandoned || late && l.codec.heard.Load() < begin.UnixNano() {
		l.retire()
	}
}

// slot holds one connection to an address and replaces it when it is dead.
type slot struct {
	current atomic.Pointer[link]

	mu sync.Mutex
	// dialling is closed when the dial in progress has ended; nil without one.
	dialling chan struct{}
	failures int
	until    time.Time
	cause    error
}

// get returns a link that was entered. It waits for a dial in progress.
func (s *slot) get(c context.Context, p *Pool, address string) (*link, error) {
	for {
		if l := s.current.Load(); l != nil && l.enter() {
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

// dial starts a dial unless one is in progress and returns the channel that is
// closed at its end; nil if there is a usable link.
func (s *slot) dial(p *Pool, address string) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.current.Load(); l != nil && !l.retired.Load() {
		return nil, nil
	}
	if s.dialling != nil {
		return s.dialling, nil
	}
	if time.Now().Before(s.until) {
		return nil, notSent(s.cause)
	}
	w := make(chan struct{})
	if !p.spawn(func() { s.connect(p, address, w) }) {
		return nil, errClosed
	}
	s.dialling = w
	return w, nil
}

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
		s.cause = errors.Wrapf(err, "dial %s", address)
		s.until = time.Now().Add(d/2 + rand.N(d/2+1))
		return
	}
	s.failures, s.cause, s.until = 0, nil, time.Time{}
	s.current.Store(newLink(n, p.options))
}
