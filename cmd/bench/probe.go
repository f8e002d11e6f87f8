package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
)

const (
	probeKeys     = 96
	probeInterval = 50 * time.Millisecond
	// maxProbes bounds the requests in flight for one key.
	maxProbes    = 8
	probeTimeout = 2 * time.Second
	// avoidTime is how long the balancer avoids an entry after a failed connection.
	avoidTime = time.Second
)

// balancer chooses entries as the load balancer of the platform does: at random,
// except for those whose connections failed within avoidTime.
type balancer struct {
	mu      sync.Mutex
	random  *rand.Rand
	entries []string
	// avoidUntil is when an entry may be chosen again, by address.
	avoidUntil map[string]time.Time
	// idle holds the unused connections by address.
	idle map[string][]*connection
}

func newBalancer(l *layout, seed uint64) *balancer {
	b := &balancer{random: rand.New(rand.NewPCG(seed, 2)), avoidUntil: map[string]time.Time{}, idle: map[string][]*connection{}}
	for _, i := range l.Instances {
		b.entries = append(b.entries, i.HTTP)
	}
	return b
}

// acquire returns a connection to an entry that is not avoided, if it finds one
// in 16 tries.
func (b *balancer) acquire() *connection {
	b.mu.Lock()
	defer b.mu.Unlock()
	var a string
	for range 16 {
		a = b.entries[b.random.IntN(len(b.entries))]
		if time.Now().After(b.avoidUntil[a]) {
			break
		}
	}
	if l := b.idle[a]; len(l) > 0 {
		b.idle[a] = l[:len(l)-1]
		return l[len(l)-1]
	}
	return &connection{address: a}
}

// release returns a connection after its request. If the request failed, the
// entry is avoided for avoidTime and its unused connections are closed.
func (b *balancer) release(s *connection, r result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.outcome == outcomeBroken {
		b.avoidUntil[s.address] = time.Now().Add(avoidTime)
		for _, x := range b.idle[s.address] {
			x.close()
		}
		b.idle[s.address] = nil
		return
	}
	b.idle[s.address] = append(b.idle[s.address], s)
}

func (b *balancer) do(c *call) result {
	s := b.acquire()
	r := s.do(c)
	b.release(s, r)
	return r
}

// probes sends requests for a number of keys, each at a steady rate.
type probes struct {
	balancer *balancer
	group    sync.WaitGroup
	keys     []probe
}

// probe holds the results of the requests for one key.
type probe struct {
	mu sync.Mutex
	// answers are the times of correct answers.
	answers []time.Time
	last    result
	waiting int
	total   int
	wrong   int
	// skipped counts the requests that were not sent because of maxProbes.
	skipped int
}

func newProbes(l *layout, seed uint64) *probes {
	return &probes{balancer: newBalancer(l, seed), keys: make([]probe, probeKeys)}
}

func (p *probes) start(x context.Context) {
	for i := range p.keys {
		p.group.Go(func() { p.run(x, i) })
	}
}

func (p *probes) wait() { p.group.Wait() }

func (p *probes) run(x context.Context, i int) {
	k := &p.keys[i]
	// The first requests are spread over the interval.
	time.Sleep(probeInterval * time.Duration(i) / probeKeys)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	var g sync.WaitGroup
	defer g.Wait()
	for n := 0; x.Err() == nil; n++ {
		if k.begin() {
			c := lookup("quotes", i, i, n)
			c.timeout = probeTimeout
			g.Go(func() { k.end(p.balancer.do(c)) })
		}
		select {
		case <-t.C:
		case <-x.Done():
		}
	}
}

func (k *probe) begin() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waiting >= maxProbes {
		k.skipped++
		return false
	}
	k.waiting++
	k.total++
	return true
}

func (k *probe) end(r result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting--
	switch {
	case r.wrong:
		k.wrong++
	case r.outcome == header.Answered:
		k.answers = append(k.answers, time.Now())
		k.last = r
	}
}

// served returns the keys whose last answer came from an upstream and a home for
// which f returns true.
func (p *probes) served(f func(upstream, home string) bool) []int {
	var l []int
	for i := range p.keys {
		k := &p.keys[i]
		k.mu.Lock()
		if f(k.last.upstream, k.last.home) {
			l = append(l, i)
		}
		k.mu.Unlock()
	}
	return l
}

// gaps returns the longest time without an answer between begin and end for each
// of the keys.
func (p *probes) gaps(keys []int, begin, end time.Time) []time.Duration {
	var l []time.Duration
	for _, i := range keys {
		k := &p.keys[i]
		k.mu.Lock()
		l = append(l, gap(begin, end, k.answers))
		k.mu.Unlock()
	}
	return l
}

func (p *probes) total() int { return p.sum(func(k *probe) int { return k.total }) }
func (p *probes) wrong() int { return p.sum(func(k *probe) int { return k.wrong }) }

func (p *probes) sum(f func(*probe) int) int {
	n := 0
	for i := range p.keys {
		n += f(&p.keys[i])
	}
	return n
}
