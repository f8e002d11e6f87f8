package main

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"dandelionrock.example/dandelionrock/shard"
)

const (
	balanceUpstreams = 16
	balanceShards    = 256
	balanceKeys      = 100_000
	balanceRate      = 10_000
	zipfExponent     = 1.1
	// guildAbove is rebalance-above of the guild's services.
	guildAbove = 1.25
	// reportedHot is the number of hot keys that a home reports.
	reportedHot = 8
	maxPlans    = 64
)

type balanceCommand struct{ common }

// world is a service with the rate of each key.
type world struct {
	keys      []string
	rates     []float64
	upstreams []shard.Upstream
	shards    *shard.Map
}

// newWorld returns a service with its initial assignment to n upstreams. Rate
// returns the weight of the key of a rank from 1.
func newWorld(seed uint64, n int, rate func(rank int) float64) (*world, error) {
	w := &world{shards: shard.NewMap("lookups", balanceShards)}
	var sum float64
	for i := range balanceKeys {
		w.keys = append(w.keys, "key-"+strconv.FormatUint(seed, 10)+"-"+strconv.Itoa(i))
		w.rates = append(w.rates, rate(i+1))
		sum += w.rates[i]
	}
	for i := range w.rates {
		w.rates[i] *= balanceRate / sum
	}
	for i := range n {
		w.upstreams = append(w.upstreams, shard.Upstream{Name: fmt.Sprintf("upstream-%02d", i+1), Weight: 2})
	}
	l, err := shard.Initial(balanceShards, w.upstreams)
	if err != nil {
		return nil, err
	}
	w.shards, err = w.shards.With(l...)
	return w, err
}

// owners returns the owner of each key.
func (w *world) owners() []string {
	l := make([]string, len(w.keys))
	for i, k := range w.keys {
		_, l[i], _ = w.shards.Find(k)
	}
	return l
}

// loads returns the load of each upstream.
func (w *world) loads() []float64 {
	m := map[string]float64{}
	for i, o := range w.owners() {
		m[o] += w.rates[i]
	}
	l := make([]float64, len(w.upstreams))
	for i, u := range w.upstreams {
		l[i] = m[u.Name]
	}
	return l
}

// state returns what the planner learns from the reports of homes.
func (w *world) state() shard.State {
	s := shard.State{Map: w.shards, Upstreams: w.upstreams, Rates: map[shard.ID]float64{}}
	hot := map[string][]shard.HotKey{}
	for i, k := range w.keys {
		x, o, _ := w.shards.Find(k)
		s.Rates[x] += w.rates[i]
		hot[o] = append(hot[o], shard.HotKey{Key: k, Rate: w.rates[i]})
	}
	for _, u := range w.upstreams {
		l := hot[u.Name]
		slices.SortFunc(l, func(a, b shard.HotKey) int { return int(math.Copysign(1, b.Rate-a.Rate)) })
		s.Hot = append(s.Hot, l[:min(reportedHot, len(l))]...)
	}
	return s
}

// change replaces the block of a shard.
func (w *world) change(i shard.ID, f func(*shard.Block) (*shard.Block, error)) error {
	b, err := f(w.shards.Block(shard.BlockOf(i, balanceShards)))
	if err != nil {
		return err
	}
	w.shards, err = w.shards.With(b)
	return err
}

func (w *world) move(l []shard.Move) error {
	for _, m := range l {
		if err := w.change(m.Shard, func(b *shard.Block) (*shard.Block, error) { return b.Move(m.Shard, m.To) }); err != nil {
			return err
		}
	}
	return nil
}

// rebalance carries plans out until there is none.
func (w *world) rebalance() (int, error) {
	for n := range maxPlans {
		p := w.state().Rebalance(shard.Policy{Above: guildAbove})
		if len(p.Splits)+len(p.Moves)+len(p.Merges) == 0 {
			return n, nil
		}
		for _, k := range p.Splits {
			h := w.shards.Hash(k.Key)
			err := w.change(shard.Base(h, balanceShards), func(b *shard.Block) (*shard.Block, error) {
				x, _, err := b.Split(h)
				return x, err
			})
			if err != nil {
				return n, err
			}
		}
		for _, h := range p.Merges {
			err := w.change(shard.Base(h, balanceShards), func(b *shard.Block) (*shard.Block, error) { return b.Merge(h) })
			if err != nil {
				return n, err
			}
		}
		if err := w.move(p.Moves); err != nil {
			return n, err
		}
	}
	return maxPlans, nil
}

// moved returns the share of keys whose owner has changed.
func moved(a, b []string) float64 {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return float64(n) / float64(len(a))
}

// Execute implements flags.Commander.
func (c *balanceCommand) Execute([]string) error {
	for _, f := range []func(*printer) error{c.uniform, c.zipf, c.leave, c.join} {
		if err := f(newPrinter(c.common)); err != nil {
			return err
		}
	}
	return nil
}

func even(int) float64 { return 1 }

const plannerNote = "planner alone, without processes: 100000 keys, 256 shards"

func (c *balanceCommand) uniform(p *printer) error {
	w, err := newWorld(c.Seed, balanceUpstreams, even)
	if err != nil {
		return err
	}
	n, err := w.rebalance()
	p.print("imbalance-uniform", imbalance(w.loads()), "ratio", fmt.Sprintf("%s; %d plans above %v", plannerNote, n, guildAbove))
	return err
}

func (c *balanceCommand) zipf(p *printer) error {
	w, err := newWorld(c.Seed, balanceUpstreams, func(n int) float64 { return math.Pow(float64(n), -zipfExponent) })
	if err != nil {
		return err
	}
	plain := make([]float64, balanceUpstreams)
	for i, k := range w.keys {
		plain[uint64(w.shards.Hash(k))%balanceUpstreams] += w.rates[i]
	}
	a, before := w.owners(), imbalance(w.loads())
	n, err := w.rebalance()
	floor := slices.Max(w.rates) * balanceUpstreams / balanceRate
	p.print("imbalance-zipf", imbalance(w.loads()), "ratio",
		fmt.Sprintf("%s; %d plans above %v; %.2f before; the hottest key alone is %.2f", plannerNote, n, guildAbove, before, floor))
	p.print("imbalance-zipf-plain", imbalance(plain), "ratio", "hash of the key modulo 16")
	p.print("churn-zipf-share", moved(a, w.owners()), "share of keys", plannerNote)
	return err
}

// leave closes an upstream. The keys that it owned have to move.
func (c *balanceCommand) leave(p *printer) error {
	w, err := newWorld(c.Seed, balanceUpstreams, even)
	if err != nil {
		return err
	}
	u, a := &w.upstreams[c.Seed%balanceUpstreams], w.owners()
	must := 0
	for _, o := range a {
		if o == u.Name {
			must++
		}
	}
	u.Closed = true
	l, err := w.state().Evacuate(u.Name)
	if err != nil {
		return err
	}
	if err := w.move(l); err != nil {
		return err
	}
	if _, err := w.rebalance(); err != nil {
		return err
	}
	p.print("churn-leave-ratio", moved(a, w.owners())*balanceKeys/float64(must), "ratio", plannerNote+"; keys moved over keys of the leaving upstream")
	return nil
}

// join adds an upstream to 15. A sixteenth of the keys has to move.
func (c *balanceCommand) join(p *printer) error {
	w, err := newWorld(c.Seed, balanceUpstreams-1, even)
	if err != nil {
		return err
	}
	a := w.owners()
	u := shard.Upstream{Name: "upstream-16", Weight: 2}
	w.upstreams = append(w.upstreams, u)
	if err := w.move(w.state().Join(u.Name)); err != nil {
		return err
	}
	if _, err := w.rebalance(); err != nil {
		return err
	}
	p.print("churn-join-ratio", moved(a, w.owners())*balanceUpstreams, "ratio",
		fmt.Sprintf("%s; keys moved over 1/16 of all; imbalance afterwards %.3f", plannerNote, imbalance(w.loads())))
	return nil
}
