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
	// group counts calls and dials. It grows only while closed is false.
	group sync.WaitGroup
}

type peer struct {
	next  atomic.Uint32
	slots []slot
	// gone is set when the address was forgotten.
	gone atomic.Bool
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	p := &Pool{options: o.withDefaults(), peers: map[string]*peer{}}
	p.context, p.cancel = context.WithCancel(context.Background())
	return p
}

// Call calls a method at an address and waits for the reply. An error is
// ErrNotSent, ErrInterrupted, the error of c (the peer may have received the
// call, unless the error is also ErrNotSent) or the rpc.ServerError that the
// method returned. Request and reply are not used after Call has returned.
func (p *Pool) Call(c context.Context, address, method string, request, reply proto.Message) error {
	if err := c.Err(); err != nil {
		return notSent(err)
	}
	r, err := p.enter(address)
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
		if r.gone.Load() {
			r.retire()
		}
		// A connection that died while idle is noticed by the call that uses it.
		if err == nil || !retry || !l.retired.Load() || !errors.Is(err, ErrNotSent) {
			return err
		}
	}
}

// enter counts a call in and finds the peer.
func (p *Pool) enter(address string) (*peer, error) {
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

// spawn runs f unless the pool is closed; Close waits for it.
func (p *Pool) spawn(f func()) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return false
	}
	p.group.Go(f)
	return true
}

// Forget drops the connections to an address that is no longer in use, each
// after its calls in progress.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	r := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if r != nil {
		r.gone.Store(true)
		r.retire()
	}
}

func (r *peer) retire() {
	for i := range r.slots {
		if l := r.slots[i].current.Load(); l != nil {
			l.retire()
		}
	}
}

// Close refuses new calls, waits for the calls in progress, which end by their
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

// close ends the connections and waits for their writers.
func (r *peer) close() {
	for i := range r.slots {
		if l := r.slots[i].current.Load(); l != nil {
			l.close()
			<-l.codec.out.done
		}
	}
}
