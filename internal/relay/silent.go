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
	// minTestInterval and maxTestInterval bound the time between two tests. It doubles
	// with each test of all connections that finds none silent: peers that are
	// overloaded stall as well, and probes would add to their load.
	minTestInterval = time.Second
	maxTestInterval = 4 * time.Second
	// largeFrame is the size in bytes from which a frame may delay those after it, and
	// minBandwidth that in bytes a second with which large frames are sent at least.
	largeFrame   = 64 << 10
	minBandwidth = 10e6 / 8
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
	// nextAt is when the next test may begin, as a clock.Time.
	nextAt atomic.Int64
	// interval is that before the next test; use it while busy is set.
	interval time.Duration
}

// begin reports whether a test may begin now. If so, it must end with end.
func (t *tester) begin(now clock.Time) bool {
	return now >= clock.Time(t.nextAt.Load()) && t.busy.CompareAndSwap(false, true)
}

// end ends a test that began at the given time. inVain tells whether all connections were
// tested and none was silent.
func (t *tester) end(began clock.Time, inVain bool) {
	if inVain {
		t.interval = min(max(2*t.interval, minTestInterval), maxTestInterval)
	} else {
		t.interval = minTestInterval
	}
	t.nextAt.Store(int64(began.Add(t.interval)))
	t.busy.Store(false)
}

// stalled is called when nothing was received on a link since the call that began at the
// given time, which missed its deadline and has not released the link.
func (p *Pool) stalled(l *link, s *slot, address string, begin clock.Time) {
	now := clock.Boot()
	if l.codec.out.isSending(now) || !p.tester.begin(now) {
		return
	}
	// The link stays open, so that a late reply shows that it is not silent.
	l.active.Add(1)
	started := p.spawn(func() {
		defer l.release()
		inVain := p.replaceSilent(l, s, address, begin) && !p.testSince(begin)
		p.tester.end(now, inVain)
	})
	if !started {
		l.release()
		p.tester.end(now, false)
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

// testSince tests all links on which nothing was received since the given time, except
// those that may be sending a large frame. It reports whether any of them was silent.
func (p *Pool) testSince(since clock.Time) bool {
	var tests, replacements sync.WaitGroup
	var found atomic.Bool
	p.mu.RLock()
	for a, r := range p.peers {
		for i := range r.slots {
			s := &r.slots[i]
			l := s.current.Load()
			if l == nil || !l.silentSince(since) || l.codec.out.isSending(clock.Boot()) || !l.acquire() {
				continue
			}
			tests.Add(1)
			replacements.Go(func() {
				defer l.release()
				begin := clock.Boot()
				silent := p.retireSilent(l)
				tests.Done()
				// Closing a link fails a call, whose caller may go on to another peer:
				// no silent link may still be in use then.
				tests.Wait()
				if silent && p.replaceSilent(l, s, a, begin) {
					found.Store(true)
				}
			})
		}
	}
	p.mu.RUnlock()
	replacements.Wait()
	return found.Load()
}

// retireSilent retires an acquired link if the peer doesn't answer on it. It reports
// whether it did.
func (p *Pool) retireSilent(l *link) bool {
	l.active.Add(1) // released by probe
	begin := clock.Boot()
	c, stop := context.WithTimeout(p.context, probeTimeout)
	defer stop()
	if l.probe(c) || !l.silentSince(begin) {
		return false
	}
	l.retire()
	return true
}

// probe calls methodProbe on an acquired link, which it releases, and reports whether the
// peer answered.
func (l *link) probe(c context.Context) bool {
	err := l.do(c, methodProbe, &schema.Empty{}, &schema.Empty{})
	var f rpc.ServerError
	return err == nil || errors.As(err, &f)
}

// silentSince reports whether nothing was received on the link since the given time.
func (l *link) silentSince(t clock.Time) bool { return clock.Time(l.codec.lastRead.Load()) < t }
