package shard

import (
	"fmt"
	"testing"

	"dandelionrock.example/dandelionrock/internal/steps"
)

// plannerModel is a service with its traffic, to which the planner's proposals
// are applied. The methods that TestPlannerStateful runs as steps return a
// description of the violation, or an empty string.
type plannerModel struct {
	t testing.TB
	traffic
	State
	// byKey and byID hold the owners and epochs of the last check.
	byKey map[KeyHash]Entry
	byID  map[ID]Entry
}

func newPlannerModel(t testing.TB) *plannerModel {
	s := newState(t, 64, upstreams(6))
	return &plannerModel{t, newTraffic(2000, 0, 0, 1), s, map[KeyHash]Entry{}, map[ID]Entry{}}
}

// leave closes an upstream and checks that exactly its shards move and that the
// load of no destination exceeds the mean by more than one shard.
func (f *plannerModel) leave(n int) string {
	u := &f.Upstreams[n%len(f.Upstreams)]
	if u.Closed || f.open() < 3 {
		return ""
	}
	u.Closed = true
	want, sizes := shardCounts(f.State)[u.Name], f.sizes()
	m, err := f.Evacuate(u.Name)
	if err != nil || len(m) != want {
		return fmt.Sprintf("evacuation of %s with %d shards: %d moves, %v", u.Name, want, len(m), err)
	}
	f.State.apply(f.t, nil, m, nil)
	return f.checkBounded(m, sizes)
}

// checkBounded checks that the load of no destination of the moves exceeds the
// mean by more than the heaviest shard.
func (f *plannerModel) checkBounded(moves []Move, sizes map[ID]float64) string {
	sum, top, after := 0.0, 0.0, map[string]float64{}
	f.Map.All(func(i ID, e Entry) bool {
		after[e.Upstream] += sizes[i]
		sum, top = sum+sizes[i], max(top, sizes[i])
		return true
	})
	mean := sum / float64(f.open())
	for _, m := range moves {
		if l := after[m.To]; l > mean*(1+equalLoadTolerance)+top+1e-6 {
			return fmt.Sprintf("%s has load %f, mean %f, heaviest shard %f", m.To, l, mean, top)
		}
	}
	return ""
}

func (f *plannerModel) open() (n int) {
	for _, u := range f.Upstreams {
		if !u.Closed {
			n++
		}
	}
	return n
}

// sizes returns the size of each shard as the planner sees it.
func (f *plannerModel) sizes() map[ID]float64 {
	r := map[ID]float64{}
	for _, i := range f.items() {
		r[i.id] = i.size
	}
	return r
}

// join opens an upstream or adds one, and checks that it receives its share of
// the shards, or fewer if its share of the measured load is reached.
func (f *plannerModel) join(n int) string {
	if n %= len(f.Upstreams) + 1; n == len(f.Upstreams) && n < 10 {
		f.Upstreams = append(f.Upstreams, Upstream{Name: fmt.Sprintf("u%02d", n), Closed: true})
	}
	if n >= len(f.Upstreams) || !f.Upstreams[n].Closed {
		return ""
	}
	f.Upstreams[n].Closed = false
	m, sizes := f.Join(f.Upstreams[n].Name), f.sizes()
	if share := len(sizes) / f.open(); len(m) > share || f.Rates == nil && len(m) < share {
		return fmt.Sprintf("join of %s moves %d shards, want %d", f.Upstreams[n].Name, len(m), share)
	}
	f.State.apply(f.t, nil, m, nil)
	return f.checkBounded(m, sizes)
}

// changeLoad changes the load of all keys and the reports of the homes.
func (f *plannerModel) changeLoad(n int) string {
	switch n % 4 {
	case 0:
		f.Rates, f.Hot = nil, nil
	case 1:
		f.traffic = newTraffic(2000, 0, 0, int64(n))
	default:
		f.traffic = newTraffic(2000, 1.1, float64(n%7), int64(n))
	}
	if n%4 != 0 {
		f.fillReport(&f.State)
	}
	return ""
}

// split gives a key its own shard. A key that has one is merged if its base shard
// has the same owner.
func (f *plannerModel) split(n int) string {
	h := f.hashes[n%len(f.hashes)]
	b := f.Map.Block(BlockOf(Base(h, f.Map.Count()), f.Map.Count()))
	if i, o, _ := f.Map.FindHash(h); uint32(i) < f.Map.Count() {
		f.State.apply(f.t, []HotKey{{Key: f.traffic.keys[n%len(f.hashes)]}}, nil, nil)
	} else if e, _ := b.Entry(Base(h, f.Map.Count())); e.Upstream == o {
		f.State.apply(f.t, nil, nil, []KeyHash{h})
	}
	if f.Rates != nil {
		f.fillReport(&f.State)
	}
	return ""
}

// rebalance applies plans until one is empty. It checks that the plans end, that
// none makes the load less even, that no base shard moves twice, and that the
// load is even afterwards.
func (f *plannerModel) rebalance(int) string {
	y, moved, last := Policy{Above: 1.25}, map[ID]bool{}, Plan{}
	for n := range 60 {
		f.fillReport(&f.State)
		last = f.Rebalance(y)
		if len(last.Splits)+len(last.Moves)+len(last.Merges) == 0 {
			return f.checkEven(last)
		}
		if last.After > last.Before+1e-9 || len(last.Moves) > 16 || len(last.Splits) > 16 {
			return fmt.Sprintf("plan %d: %+v", n, last)
		}
		for _, m := range last.Moves {
			if moved[m.Shard] && uint32(m.Shard) < f.Map.Count() {
				return fmt.Sprintf("shard %d moves twice", m.Shard)
			}
			moved[m.Shard] = true
		}
		f.State.apply(f.t, last.Splits, last.Moves, last.Merges)
	}
	return fmt.Sprintf("the plan is not empty after 60 plans: %+v", last)
}

// checkEven checks the load after a rebalance. An upstream may stay above the
// threshold if no move of its shards is worth the cost.
func (f *plannerModel) checkEven(p Plan) string {
	if got := p.After; got > max(1.25, 1.05*p.Floor) {
		return fmt.Sprintf("load is %.3f times the mean, floor %.3f", got, p.Floor)
	}
	return ""
}

// check checks that each shard has one owner, which is open, and that no epoch
// of a key or shard has decreased since the last check.
func (f *plannerModel) check() string {
	open := map[string]bool{}
	for _, u := range f.Upstreams {
		open[u.Name] = !u.Closed
	}
	n, ids := 0, map[ID]bool{}
	bad := ""
	f.Map.All(func(i ID, e Entry) bool {
		if was := f.byID[i]; ids[i] || !open[e.Upstream] || e.Epoch < was.Epoch || e != was && e.Epoch == was.Epoch {
			bad = fmt.Sprintf("shard %d has entry %+v, before %+v", i, e, was)
		}
		ids[i], f.byID[i] = true, e
		if uint32(i) < f.Map.Count() {
			n++
		}
		return bad == ""
	})
	for _, h := range f.hashes {
		i, o, p := f.Map.FindHash(h)
		if was := f.byKey[h]; !ids[i] || p < was.Epoch || o != was.Upstream && p == was.Epoch {
			return fmt.Sprintf("key %x has owner %s and epoch %d, before %+v", uint64(h), o, p, was)
		}
		f.byKey[h] = Entry{o, p}
	}
	if bad == "" && n != int(f.Map.Count()) {
		bad = fmt.Sprintf("%d base shards", n)
	}
	return bad
}

// withCheck returns a step that runs check after run.
func withCheck(name string, run func(*plannerModel, int) string) steps.Step[*plannerModel] {
	return steps.New(name, func(f *plannerModel, n int) string {
		if bad := run(f, n); bad != "" {
			return bad
		}
		return f.check()
	})
}

// Guards against shards with no owner or two, decreasing epochs, needless moves,
// uneven load and endless plans, for random sequences of join, leave, change of
// load, split and rebalance.
func TestPlannerStateful(t *testing.T) {
	for seed := range int64(3) {
		steps.Properties(
			seed, 100, 30, func() *plannerModel { return newPlannerModel(t) },
			withCheck("leave", (*plannerModel).leave), withCheck("join", (*plannerModel).join), withCheck("shift", (*plannerModel).changeLoad),
			withCheck("split", (*plannerModel).split), withCheck("rebalance", (*plannerModel).rebalance),
		).TestingRun(t)
	}
}
