package relay

import (
	"context"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// Connections can go silent for good although both ends are sound: what is sent on them
// is lost, and nothing closes them. A call on such a connection fails only at its
// deadline, and many connections can be silenced at the same moment. So when one has
// stalled and the peer answers on a new connection, the pool tests all others on which
// nothing was received since, and closes those that are silent as well.

const (
	// probeTimeout bounds the answer to a probe on a connection that is in use. It is
	// several round trips between distant regions.
	probeTimeout = 300 * time.Millisecond
	// newProbeTimeout bounds the dial and the answer on a new connection.
	newProbeTimeout = 600 * time.Millisecond
	// testInterval is the shortest time between two tests of all connections.
	testInterval = time.Second
)

// methodProbe is a method without effect, of the service serviceProbe. A peer that
// doesn't know it answers as well.
const (
	serviceProbe = "Relay"
	methodProbe  = serviceProbe + ".Probe"
)

// prober has the method methodProbe.
type prober struct{}

// Probe does nothing.
func (prober) Probe(_, _ *schema.Empty) error { return nil }

// tester tests connections after one has stalled.
type tester struct {
	// busy is set while connections are tested.
	busy atomic.Bool
	// testedAt is when the last test began, as a clock.Time; 0 if there was none.
	testedAt atomic.Int64
}

// begin reports whether a test may begin now. If so, it must end with end.
func (t *tester) begin(now clock.Time) bool {
	if last := clock.Time(t.testedAt.Load()); last != 0 && now.Sub(last) < testInterval || !t.busy.CompareAndSwap(false, true) {
		return false
	}
	t.testedAt.Store(int64(now))
	return true
}

func (t *tester) end() { t.busy.Store(false) }

// stalled is called when nothing was received on a link since the call that began at the
// given time, which missed its deadline.
func (p *Pool) stalled(l *link, s *slot, address string, begin clock.Time) {
	if !p.tester.begin(clock.Boot()) {
		return
	}
	started := p.spawn(func() {
		defer p.tester.end()
		if p.replaceSilent(l, s, address, begin) {
			p.testSince(begin)
		}
	})
	if !started {
		p.tester.end()
	}
}

// replaceSilent closes a retired link if the peer answers on a new connection while
// nothing was received on the link since the given time. It reports whether it did.
func (p *Pool) replaceSilent(l *link, s *slot, address string, since clock.Time) bool {
	c, stop := context.WithTimeout(p.context, newProbeTimeout)
	defer stop()
	n, err := s.get(c, p, address)
	if err != nil || !n.probe(c) || !l.silentSince(since) {
		return false
	}
	l.close()
	return true
}

// testSince tests all links on which nothing was received since the given time, and waits
// for the results.
func (p *Pool) testSince(since clock.Time) {
	var g sync.WaitGroup
	p.mu.RLock()
	for a, r := range p.peers {
		for i := range r.slots {
			s := &r.slots[i]
			if l := s.current.Load(); l != nil && l.silentSince(since) {
				g.Go(func() { p.test(l, s, a) })
			}
		}
	}
	p.mu.RUnlock()
	g.Wait()
}

// test closes a link on which the peer doesn't answer, if it does on a new one.
func (p *Pool) test(l *link, s *slot, address string) {
	if !l.acquire() {
		return
	}
	begin := clock.Boot()
	c, stop := context.WithTimeout(p.context, probeTimeout)
	defer stop()
	if l.probe(c) || !l.silentSince(begin) {
		return
	}
	l.retire()
	p.replaceSilent(l, s, address, begin)
}

// probe calls methodProbe on an acquired link, and reports whether the peer answered.
func (l *link) probe(c context.Context) bool {
	err := l.do(c, methodProbe, &schema.Empty{}, &schema.Empty{})
	var f rpc.ServerError
	return err == nil || errors.As(err, &f)
}

// silentSince reports whether nothing was received on the link since the given time.
func (l *link) silentSince(t clock.Time) bool { return clock.Time(l.codec.lastFrame.Load()) < t }
