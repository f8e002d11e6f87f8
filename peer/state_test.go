package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/steps"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// tick is the interval of Tick; heartbeats are sent at every second tick.
	tick = 50 * time.Millisecond
	// settled is the time after which an instance that is reached by all
	// heartbeats must count as live.
	settled = DefaultSuspectAfter + 2*tick
)

// process is an instance in a world.
type process struct {
	*Detector
	id              string
	run             int
	paused, stopped bool
	inbox           []*schema.HeartbeatRequest
	// fresh is when the process last started or woke from a pause.
	fresh, ticked Time
}

// world runs instances on one clock. Its methods are the commands of the
// stateful test and return what is wrong.
type world struct {
	now Time
	all []*process
	// cut tells which receivers don't hear which senders.
	cut map[[2]int]bool
	// heard is when a receiver last handled a heartbeat of a sender, and clean
	// since when nothing kept the sender's heartbeats from the receiver.
	heard, clean map[[2]int]Time
	// lists are the lists of instances of all times.
	lists [][]Listing
}

func newWorld() *world {
	w := &world{now: start, cut: map[[2]int]bool{}, heard: map[[2]int]Time{}, clean: map[[2]int]Time{}}
	for i := range 5 {
		w.all = append(w.all, &process{id: fmt.Sprintf("i%d", i)})
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	p := w.all[i]
	p.run++
	p.Detector = New(Config{Self: w.self(i)})
	p.paused, p.stopped, p.inbox, p.fresh, p.ticked = false, false, nil, w.now, w.now
	for j := range w.all {
		w.clean[[2]int{i, j}], w.clean[[2]int{j, i}] = w.now, w.now
		delete(w.heard, [2]int{i, j})
	}
}

func (w *world) self(i int) Instance {
	p := w.all[i]
	return Instance{
		ID: p.id, Incarnation: fmt.Sprint(p.run), Region: fmt.Sprint("r", i/3), FailureDomain: fmt.Sprint("d", i/2),
	}
}

// restart replaces an instance; pause, stop and break disturb it.
func (w *world) restart(n int) string {
	w.start(n % len(w.all))
	return ""
}

func (w *world) pause(n int) string {
	w.all[n%len(w.all)].paused = true
	return ""
}

func (w *world) resume(n int) string {
	w.all[n%len(w.all)].paused = false
	return ""
}

func (w *world) stop(n int) string {
	w.all[n%len(w.all)].stopped = true
	return ""
}

func (w *world) sever(n int) string {
	w.cut[[2]int{n % 5, n / 5 % 5}] = true
	return ""
}

// isolate cuts one instance off in both directions.
func (w *world) isolate(n int) string {
	for j := range w.all {
		w.cut[[2]int{n % 5, j}], w.cut[[2]int{j, n % 5}] = true, true
	}
	return ""
}

func (w *world) heal(int) string {
	clear(w.cut)
	return ""
}

// list gives an instance a list of any age.
func (w *world) list(n int) string {
	if p := w.all[n%5]; !p.paused && !p.stopped && len(w.lists) > 0 {
		p.RecordList(w.now, w.lists[n/5%len(w.lists)])
	}
	return ""
}

// late repeats a message of an earlier run, which must not replace the present
// run while that is heard.
func (w *world) late(n int) string {
	i, j := n%5, n/5%5
	p, q := w.all[i], w.all[j]
	if i == j || q.run < 2 || p.paused || p.stopped || w.now.Sub(w.clean[[2]int{i, j}]) <= settled {
		return ""
	}
	p.RecordHeartbeat(w.now, &schema.HeartbeatRequest{InstanceId: q.id, Incarnation: fmt.Sprint(q.run - 1), Clock: 1})
	return w.check(i)
}

// pass lets time pass.
func (w *world) pass(n int) string {
	for range 1 + n%20 {
		if bad := w.step(); bad != "" {
			return bad
		}
	}
	return ""
}

// recover ends all disturbances. All that run must then agree.
func (w *world) recover(int) string {
	clear(w.cut)
	for _, p := range w.all {
		p.paused = false
	}
	if bad := w.pass(19); bad != "" {
		return bad
	}
	var want []string
	for _, p := range w.all {
		if !p.stopped {
			want = append(want, p.id)
		}
	}
	for _, p := range w.all {
		if got := ids(p.Live()); !p.stopped && !slices.Equal(got, want) {
			return fmt.Sprintf("%s sees %v, want %v", p.id, got, want)
		}
	}
	return ""
}

// step sends, delivers and ticks once, and checks the changes.
func (w *world) step() string {
	w.now = w.now.Add(tick)
	var l []Listing
	for j, p := range w.all {
		if !p.stopped {
			l = append(l, Listing{ID: p.id})
		}
		if !p.stopped && !p.paused && int64(w.now)/int64(tick)%2 == int64(j%2) {
			w.send(j)
		}
		for i := range w.all {
			if p.stopped || p.paused || w.cut[[2]int{i, j}] {
				w.clean[[2]int{i, j}] = w.now
			}
		}
	}
	w.lists = append(w.lists, l)
	for i, p := range w.all {
		if p.stopped || p.paused {
			continue
		}
		if bad := w.turn(i); bad != "" {
			return bad
		}
	}
	return w.agree()
}

func (w *world) send(j int) {
	s := w.self(j)
	m := &schema.HeartbeatRequest{
		InstanceId: s.ID, Incarnation: s.Incarnation, Region: s.Region, FailureDomain: s.FailureDomain,
		// The clocks of the senders differ by constant amounts.
		Clock: uint64(w.now) + uint64(j)*1e10,
	}
	for i, p := range w.all {
		if i != j && !w.cut[[2]int{i, j}] {
			p.inbox = append(p.inbox, m)
		}
	}
}

// turn lets process i handle its messages and tick, in either order.
func (w *world) turn(i int) string {
	p := w.all[i]
	if w.now.Sub(p.ticked) > DefaultSuspectAfter/2 {
		p.fresh = w.now
	}
	p.ticked = w.now
	first := int64(w.now)/int64(tick)%3 == 0
	var c []Change
	if first {
		c = p.Tick(w.now)
	}
	if bad := w.verify(i, c); bad != "" {
		return bad
	}
	for _, m := range p.inbox {
		w.heard[[2]int{i, int(m.InstanceId[1] - '0')}] = w.now
		p.RecordHeartbeat(w.now, m)
	}
	p.inbox = nil
	if bad := w.verify(i, p.Tick(w.now)); bad != "" {
		return bad
	}
	return w.check(i)
}

// silent returns for how long process i has been awake without hearing j.
func (w *world) silent(i, j int) time.Duration {
	return w.now.Sub(max(w.heard[[2]int{i, j}], w.all[i].fresh))
}

// verify checks that no suspicion comes early.
func (w *world) verify(i int, changes []Change) string {
	for _, c := range changes {
		j := int(c.Instance.ID[1] - '0')
		early := c.Before == Live && w.silent(i, j) <= DefaultSuspectAfter
		if (c.Instance.State == Suspect || c.Instance.State == Gone) && early {
			return fmt.Sprintf("i%d suspects %s after %v", i, c.Instance.ID, w.silent(i, j))
		}
	}
	return ""
}

// check checks that no suspicion is late, and that what nothing disturbs is
// live.
func (w *world) check(i int) string {
	for j := range w.all {
		p, q := w.all[i], w.all[j]
		v, ok := p.Instance(q.id)
		if i == j || !ok {
			continue
		}
		if v.State == Live && w.silent(i, j) > DefaultSuspectAfter {
			return fmt.Sprintf("i%d doesn't suspect i%d after %v", i, j, w.silent(i, j))
		}
		live := v.State == Live && v.Incarnation == fmt.Sprint(q.run) && p.Runs(w.now, q.id, v.Incarnation)
		if w.now.Sub(w.clean[[2]int{i, j}]) > settled && !live {
			return fmt.Sprintf("i%d sees i%d as %v, run %s, want live, run %d", i, j, v.State, v.Incarnation, q.run)
		}
	}
	return ""
}

// agree checks that instances with the same view choose the same successors.
func (w *world) agree() string {
	views := map[string][]string{}
	for _, p := range w.all {
		if p.stopped || p.paused {
			continue
		}
		k := fmt.Sprint(ids(p.Live()))
		s := ids(Successor("home/guild/quotes/u", Place{"r0", "d0"}, p.Live()))
		if o, ok := views[k]; ok && !slices.Equal(o, s) {
			return fmt.Sprintf("with the view %s, successors are %v and %v", k, o, s)
		}
		views[k] = s
	}
	return ""
}

func ids(all []Instance) (r []string) {
	for _, i := range all {
		r = append(r, i.ID)
	}
	return r
}

// Guards against false, late and lasting suspicions, against runs that are
// mixed up, and against instances that disagree on a successor, under cuts,
// pauses, stops and restarts, with a list that lags.
func TestDetectorStateful(t *testing.T) {
	pass := steps.New("pass", (*world).pass)
	for seed := range int64(3) {
		steps.Properties(
			seed, 200, 60, newWorld, pass, pass, pass, pass,
			steps.New("restart", (*world).restart), steps.New("pause", (*world).pause), steps.New("resume", (*world).resume),
			steps.New("stop", (*world).stop), steps.New("sever", (*world).sever), steps.New("isolate", (*world).isolate),
			steps.New("heal", (*world).heal), steps.New("list", (*world).list), steps.New("late", (*world).late),
			steps.New("recover", (*world).recover),
		).TestingRun(t)
	}
}
