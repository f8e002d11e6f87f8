package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

var errClosed = notSent(errors.New("pool is closed"))

// Pool makes calls over connections that it opens on demand. Use NewPool.
type Pool struct {
	options Options
	context context.Context
	cancel  context.CancelFunc

	mu     sync.RWMutex
	closed bool
	peers  map[string]*peer
	tester tester
	// group counts the calls and dials in progress. None is added after closed
	// is set.
	group sync.WaitGroup
}

// peer holds the connections to one address.
type peer struct {
	// next selects the slots in turn.
	next  atomic.Uint32
	slots []slot
	// forgotten is set by Forget.
	forgotten atomic.Bool
}

// NewPool returns a pool that has no connections yet.
func NewPool(o Options) *Pool {
	p := &Pool{options: o.withDefaults(), peers: map[string]*peer{}}
	p.context, p.cancel = context.WithCancel(context.Background())
	return p
}

// Call calls a method at an address and waits for the reply. An error matches
// ErrNotSent or ErrInterrupted, or is the error of c (the peer may have received
// the call, unless the error also matches ErrNotSent) or an rpc.ServerError from
// the peer. Call doesn't use request and reply after it has returned.
func (p *Pool) Call(c context.Context, address, method string, request, reply proto.Message) error {
	if err := c.Err(); err != nil {
		return notSent(err)
	}
	r, err := p.acquire(address)
	if err != nil {
		return err
	}
	defer p.group.Done()
	s := &r.slots[r.next.Add(1)%uint32(len(r.slots))]
	for retry := true; ; retry = false {
		l, err := s.get(c, p, address)
		if err != nil {
			return err
		}
		err = l.do(c, method, request, reply)
		if r.forgotten.Load() {
			r.retire()
		}
		// Retries once if the connection was already broken before the call: an
		// idle connection that fails is detected only when it is used.
		if err == nil || !retry || !l.retired.Load() || !errors.Is(err, ErrNotSent) {
			return err
		}
	}
}

// acquire returns the peer of an address and adds a call to the group. It returns
// errClosed if the pool is closed.
func (p *Pool) acquire(address string) (*peer, error) {
	p.mu.RLock()
	if p.closed {
		p.mu.RUnlock()
		return nil, errClosed
	}
	if r := p.peers[address]; r != nil {
		p.group.Add(1)
		p.mu.RUnlock()
		return r, nil
	}
	p.mu.RUnlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	r := p.peers[address]
	if r == nil {
		r = &peer{slots: make([]slot, p.options.Connections)}
		p.peers[address] = r
	}
	p.group.Add(1)
	return r, nil
}

// spawn runs f in a goroutine for which Close waits. It returns false if the pool
// is closed.
func (p *Pool) spawn(f func()) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return false
	}
	p.group.Go(f)
	return true
}

// Forget closes the connections to an address that is no longer in use, each
// after its calls in progress have ended.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	r := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if r != nil {
		r.forgotten.Store(true)
		r.retire()
	}
}

// retire retires all links.
func (r *peer) retire() {
	for i := range r.slots {
		if l := r.slots[i].current.Load(); l != nil {
			l.retire()
		}
	}
}

// Close refuses new calls, waits for the calls in progress, which end with their
// contexts at the latest, and closes the connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.group.Wait()
	for _, r := range p.peers {
		r.close()
	}
	return nil
}

// close closes the connections and waits for their writers to stop.
func (r *peer) close() {
	for i := range r.slots {
		if l := r.slots[i].current.Load(); l != nil {
			l.close()
			<-l.codec.out.done
		}
	}
}
