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
	// guildRebalanceAbove is rebalance-above of the guild's services.
	guildRebalanceAbove = 1.25
	// reportedHotKeys is the number of hot keys that a home reports.
	reportedHotKeys = 8
	maxPlans        = 64
)

type balanceCommand struct{ common }

// model is a service without processes: its keys with their rates, its upstreams
// and the assignment of its shards.
type model struct {
	keys      []string
	rates     []float64
	upstreams []shard.Upstream
	shards    *shard.Map
}

// newModel returns a service with its initial assignment to n upstreams. rate
// returns the weight of the key with the given rank, counted from 1.
func newModel(seed uint64, n int, rate func(rank int) float64) (*model, error) {
	w := &model{shards: shard.NewMap("lookups", balanceShards)}
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
func (w *model) owners() []string {
	l := make([]string, len(w.keys))
	for i, k := range w.keys {
		_, l[i], _ = w.shards.Find(k)
	}
	return l
}

// loads returns the load of each upstream.
func (w *model) loads() []float64 {
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

// state returns the input of the planner, as homes report it.
func (w *model) state() shard.State {
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
		s.Hot = append(s.Hot, l[:min(reportedHotKeys, len(l))]...)
	}
	return s
}

// change replaces the block of a shard.
func (w *model) change(i shard.ID, f func(*shard.Block) (*shard.Block, error)) error {
	b, err := f(w.shards.Block(shard.BlockOf(i, balanceShards)))
	if err != nil {
		return err
	}
	w.shards, err = w.shards.With(b)
	return err
}

// move carries out moves of shards.
func (w *model) move(l []shard.Move) error {
	for _, m := range l {
		if err := w.change(m.Shard, func(b *shard.Block) (*shard.Block, error) { return b.Move(m.Shard, m.To) }); err != nil {
			return err
		}
	}
	return nil
}

// rebalance carries out plans until one is empty, at most maxPlans. It returns
// the number of plans.
func (w *model) rebalance() (int, error) {
	for n := range maxPlans {
		p := w.state().Rebalance(shard.Policy{Above: guildRebalanceAbove})
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

// movedShare returns the fraction of keys whose owners differ between a and b.
func movedShare(a, b []string) float64 {
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

// uniformRate gives all keys the same weight.
func uniformRate(int) float64 { return 1 }

const plannerNote = "planner alone, without processes: 100000 keys, 256 shards"

func (c *balanceCommand) uniform(p *printer) error {
	w, err := newModel(c.Seed, balanceUpstreams, uniformRate)
	if err != nil {
		return err
	}
	n, err := w.rebalance()
	p.print("imbalance-uniform", imbalance(w.loads()), "ratio", fmt.Sprintf("%s; %d plans above %v", plannerNote, n, guildRebalanceAbove))
	return err
}

func (c *balanceCommand) zipf(p *printer) error {
	w, err := newModel(c.Seed, balanceUpstreams, func(n int) float64 { return math.Pow(float64(n), -zipfExponent) })
	if err != nil {
		return err
	}
	plain := make([]float64, balanceUpstreams)
	for i, k := range w.keys {
		plain[uint64(w.shards.Hash(k))%balanceUpstreams] += w.rates[i]
	}
	a, before := w.owners(), imbalance(w.loads())
	n, err := w.rebalance()
	hottest := slices.Max(w.rates) * balanceUpstreams / balanceRate
	p.print("imbalance-zipf", imbalance(w.loads()), "ratio",
		fmt.Sprintf("%s; %d plans above %v; %.2f before; the hottest key alone is %.2f", plannerNote, n, guildRebalanceAbove, before, hottest))
	p.print("imbalance-zipf-plain", imbalance(plain), "ratio", "hash of the key modulo 16")
	p.print("churn-zipf-share", movedShare(a, w.owners()), "share of keys", plannerNote)
	return err
}

// leave closes an upstream and compares the number of moved keys with the number
// that it owned, which is the least possible.
func (c *balanceCommand) leave(p *printer) error {
	w, err := newModel(c.Seed, balanceUpstreams, uniformRate)
	if err != nil {
		return err
	}
	u, a := &w.upstreams[c.Seed%balanceUpstreams], w.owners()
	owned := 0
	for _, o := range a {
		if o == u.Name {
			owned++
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
	p.print("churn-leave-ratio", movedShare(a, w.owners())*balanceKeys/float64(owned), "ratio", plannerNote+"; keys moved over keys of the leaving upstream")
	return nil
}

// join adds an upstream to 15 others and compares the number of moved keys with a
// sixteenth of all keys, which a balanced assignment requires.
func (c *balanceCommand) join(p *printer) error {
	w, err := newModel(c.Seed, balanceUpstreams-1, uniformRate)
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
	p.print("churn-join-ratio", movedShare(a, w.owners())*balanceUpstreams, "ratio",
		fmt.Sprintf("%s; keys moved over 1/16 of all; imbalance afterwards %.3f", plannerNote, imbalance(w.loads())))
	return nil
}
