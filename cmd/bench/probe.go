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
	// probeLimit bounds the requests for one key that wait for an answer.
	probeLimit   = 8
	probeTimeout = 2 * time.Second
	// avoidFor is how long callers avoid an entry after a broken connection.
	avoidFor = time.Second
)

// balancer chooses entries as the platform's load balancer does: at random,
// apart from those that failed a short time ago.
type balancer struct {
	mu      sync.Mutex
	random  *rand.Rand
	entries []string
	until   map[string]time.Time
	// idle holds unused connections.
	idle map[string][]*link
}

func newBalancer(l *layout, seed uint64) *balancer {
	b := &balancer{random: rand.New(rand.NewPCG(seed, 2)), until: map[string]time.Time{}, idle: map[string][]*link{}}
	for _, i := range l.Instances {
		b.entries = append(b.entries, i.HTTP)
	}
	return b
}

func (b *balancer) take() *link {
	b.mu.Lock()
	defer b.mu.Unlock()
	var a string
	for range 16 {
		a = b.entries[b.random.IntN(len(b.entries))]
		if time.Now().After(b.until[a]) {
			break
		}
	}
	if l := b.idle[a]; len(l) > 0 {
		b.idle[a] = l[:len(l)-1]
		return l[len(l)-1]
	}
	return &link{address: a}
}

// give returns a connection after a result.
func (b *balancer) give(s *link, r result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.outcome == broken {
		b.until[s.address] = time.Now().Add(avoidFor)
		for _, x := range b.idle[s.address] {
			x.close()
		}
		b.idle[s.address] = nil
		return
	}
	b.idle[s.address] = append(b.idle[s.address], s)
}

func (b *balancer) do(c *call) result {
	s := b.take()
	r := s.do(c)
	b.give(s, r)
	return r
}

// probes requests many keys at a steady rate.
type probes struct {
	balancer *balancer
	group    sync.WaitGroup
	keys     []probe
}

// probe is what is known of one key.
type probe struct {
	mu sync.Mutex
	// answers are the times of correct answers.
	answers []time.Time
	last    result
	waiting int
	total   int
	wrong   int
	// missed counts the requests that were left out because of the limit.
	missed int
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
	// The keys are spread over the interval.
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
	if k.waiting >= probeLimit {
		k.missed++
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

// served returns the keys whose last answer came from an upstream and a home
// for which f is true.
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

// gaps returns the longest time without an answer for each of the keys.
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
