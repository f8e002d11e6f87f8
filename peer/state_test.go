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
	// convergenceTime is the time after which an instance must be Live for a
	// receiver that all its heartbeats reach.
	convergenceTime = DefaultSuspectAfter + 2*tick
)

// process is one instance of a cluster.
type process struct {
	*Detector
	id              string
	run             int
	paused, stopped bool
	// inbox holds the heartbeats that were sent to the process and not handled.
	inbox []*schema.HeartbeatRequest
	// resumed is when the process last started or resumed after a pause;
	// lastTick is when it last ran.
	resumed, lastTick Time
}

// cluster runs instances on one simulated clock. Its methods are the steps of the
// stateful test; they return a description of the failure, or "".
//
// The maps of pairs are keyed by the indexes of the receiver and the sender.
type cluster struct {
	now       Time
	processes []*process
	// blocked holds the pairs whose heartbeats are lost.
	blocked map[[2]int]bool
	// handled is when the receiver last handled a heartbeat of the sender;
	// undisturbed is when the sender was last stopped, paused or blocked, or
	// either of them was last started.
	handled, undisturbed map[[2]int]Time
	// lists holds the list of running instances after each tick.
	lists [][]Listing
}

func newCluster() *cluster {
	w := &cluster{now: start, blocked: map[[2]int]bool{}, handled: map[[2]int]Time{}, undisturbed: map[[2]int]Time{}}
	for i := range 5 {
		w.processes = append(w.processes, &process{id: fmt.Sprintf("i%d", i)})
		w.start(i)
	}
	return w
}

// start starts a new run of instance i.
func (w *cluster) start(i int) {
	p := w.processes[i]
	p.run++
	p.Detector = New(Config{Self: w.instance(i)})
	p.paused, p.stopped, p.inbox, p.resumed, p.lastTick = false, false, nil, w.now, w.now
	for j := range w.processes {
		w.undisturbed[[2]int{i, j}], w.undisturbed[[2]int{j, i}] = w.now, w.now
		delete(w.handled, [2]int{i, j})
	}
}

// instance returns the current run of instance i.
func (w *cluster) instance(i int) Instance {
	p := w.processes[i]
	return Instance{
		ID: p.id, Incarnation: fmt.Sprint(p.run), Region: fmt.Sprint("r", i/3), FailureDomain: fmt.Sprint("d", i/2),
	}
}

// restart replaces an instance by a new run.
func (w *cluster) restart(n int) string {
	w.start(n % len(w.processes))
	return ""
}

func (w *cluster) pause(n int) string {
	w.processes[n%len(w.processes)].paused = true
	return ""
}

func (w *cluster) resume(n int) string {
	w.processes[n%len(w.processes)].paused = false
	return ""
}

func (w *cluster) stop(n int) string {
	w.processes[n%len(w.processes)].stopped = true
	return ""
}

// block loses the heartbeats from one instance to another until heal.
func (w *cluster) block(n int) string {
	w.blocked[[2]int{n % 5, n / 5 % 5}] = true
	return ""
}

// isolate blocks the heartbeats from and to one instance.
func (w *cluster) isolate(n int) string {
	for j := range w.processes {
		w.blocked[[2]int{n % 5, j}], w.blocked[[2]int{j, n % 5}] = true, true
	}
	return ""
}

func (w *cluster) heal(int) string {
	clear(w.blocked)
	return ""
}

// list passes a list of any age to an instance.
func (w *cluster) list(n int) string {
	if p := w.processes[n%5]; !p.paused && !p.stopped && len(w.lists) > 0 {
		p.RecordList(w.now, w.lists[n/5%len(w.lists)])
	}
	return ""
}

// deliverStale delivers a heartbeat of an earlier run, which must not replace the
// current run while the heartbeats of that arrive.
func (w *cluster) deliverStale(n int) string {
	i, j := n%5, n/5%5
	p, q := w.processes[i], w.processes[j]
	if i == j || q.run < 2 || p.paused || p.stopped || w.now.Sub(w.undisturbed[[2]int{i, j}]) <= convergenceTime {
		return ""
	}
	p.RecordHeartbeat(w.now, &schema.HeartbeatRequest{InstanceId: q.id, Incarnation: fmt.Sprint(q.run - 1), Clock: 1})
	return w.checkStates(i)
}

// advance runs 1 to 20 ticks.
func (w *cluster) advance(n int) string {
	for range 1 + n%20 {
		if failure := w.runTick(); failure != "" {
			return failure
		}
	}
	return ""
}

// recover ends all blocks and pauses. All running instances must then see one
// another as Live.
func (w *cluster) recover(int) string {
	clear(w.blocked)
	for _, p := range w.processes {
		p.paused = false
	}
	if failure := w.advance(19); failure != "" {
		return failure
	}
	var want []string
	for _, p := range w.processes {
		if !p.stopped {
			want = append(want, p.id)
		}
	}
	for _, p := range w.processes {
		if got := ids(p.Live()); !p.stopped && !slices.Equal(got, want) {
			return fmt.Sprintf("%s sees %v, want %v", p.id, got, want)
		}
	}
	return ""
}

// runTick advances the clock by one tick, sends heartbeats, runs each process and
// checks the results.
func (w *cluster) runTick() string {
	w.now = w.now.Add(tick)
	var l []Listing
	for j, p := range w.processes {
		if !p.stopped {
			l = append(l, Listing{ID: p.id})
		}
		if !p.stopped && !p.paused && int64(w.now)/int64(tick)%2 == int64(j%2) {
			w.send(j)
		}
		for i := range w.processes {
			if p.stopped || p.paused || w.blocked[[2]int{i, j}] {
				w.undisturbed[[2]int{i, j}] = w.now
			}
		}
	}
	w.lists = append(w.lists, l)
	for i, p := range w.processes {
		if p.stopped || p.paused {
			continue
		}
		if failure := w.runProcess(i); failure != "" {
			return failure
		}
	}
	return w.checkAgreement()
}

// send sends a heartbeat of process j to all others that it can reach.
func (w *cluster) send(j int) {
	s := w.instance(j)
	m := &schema.HeartbeatRequest{
		InstanceId: s.ID, Incarnation: s.Incarnation, Region: s.Region, FailureDomain: s.FailureDomain,
		// The clocks of the senders differ by constant amounts.
		Clock: uint64(w.now) + uint64(j)*1e10,
	}
	for i, p := range w.processes {
		if i != j && !w.blocked[[2]int{i, j}] {
			p.inbox = append(p.inbox, m)
		}
	}
}

// runProcess makes process i handle its inbox and call Tick. In every third tick,
// it also calls Tick before it handles the inbox.
func (w *cluster) runProcess(i int) string {
	p := w.processes[i]
	if w.now.Sub(p.lastTick) > DefaultSuspectAfter/2 {
		p.resumed = w.now
	}
	p.lastTick = w.now
	tickFirst := int64(w.now)/int64(tick)%3 == 0
	var c []Change
	if tickFirst {
		c = p.Tick(w.now)
	}
	if failure := w.checkChanges(i, c); failure != "" {
		return failure
	}
	for _, m := range p.inbox {
		w.handled[[2]int{i, int(m.InstanceId[1] - '0')}] = w.now
		p.RecordHeartbeat(w.now, m)
	}
	p.inbox = nil
	if failure := w.checkChanges(i, p.Tick(w.now)); failure != "" {
		return failure
	}
	return w.checkStates(i)
}

// silence returns how long process i has been running since it last handled a
// heartbeat of process j.
func (w *cluster) silence(i, j int) time.Duration {
	return w.now.Sub(max(w.handled[[2]int{i, j}], w.processes[i].resumed))
}

// checkChanges checks that no suspicion of process i comes early.
func (w *cluster) checkChanges(i int, changes []Change) string {
	for _, c := range changes {
		j := int(c.Instance.ID[1] - '0')
		early := c.Before == Live && w.silence(i, j) <= DefaultSuspectAfter
		if (c.Instance.State == Suspect || c.Instance.State == Gone) && early {
			return fmt.Sprintf("i%d suspects %s after %v", i, c.Instance.ID, w.silence(i, j))
		}
	}
	return ""
}

// checkStates checks that no suspicion of process i comes late, and that it sees
// each undisturbed instance as Live.
func (w *cluster) checkStates(i int) string {
	for j := range w.processes {
		p, q := w.processes[i], w.processes[j]
		v, ok := p.Instance(q.id)
		if i == j || !ok {
			continue
		}
		if v.State == Live && w.silence(i, j) > DefaultSuspectAfter {
			return fmt.Sprintf("i%d doesn't suspect i%d after %v", i, j, w.silence(i, j))
		}
		live := v.State == Live && v.Incarnation == fmt.Sprint(q.run) && p.Runs(w.now, q.id, v.Incarnation)
		if w.now.Sub(w.undisturbed[[2]int{i, j}]) > convergenceTime && !live {
			return fmt.Sprintf("i%d sees i%d as %v, run %s, want live, run %d", i, j, v.State, v.Incarnation, q.run)
		}
	}
	return ""
}

// checkAgreement checks that instances that see the same live instances choose the
// same successors.
func (w *cluster) checkAgreement() string {
	views := map[string][]string{}
	for _, p := range w.processes {
		if p.stopped || p.paused {
			continue
		}
		k := fmt.Sprint(ids(p.Live()))
		s := ids(Successor("home/guild/quotes/u", Place{"r0", "d0"}, p.Live()))
		if o, ok := views[k]; ok && !slices.Equal(o, s) {
			return fmt.Sprintf("with the live instances %s, successors are %v and %v", k, o, s)
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

// Guards against suspicions that are false, late or never withdrawn, against
// confusion of the runs of an instance, and against instances that disagree on a
// successor, when heartbeats are lost, processes pause, stop and restart, and the
// list is outdated.
func TestDetectorStateful(t *testing.T) {
	advance := steps.New("advance", (*cluster).advance)
	for seed := range int64(3) {
		steps.Properties(
			seed, 200, 60, newCluster, advance, advance, advance, advance,
			steps.New("restart", (*cluster).restart), steps.New("pause", (*cluster).pause), steps.New("resume", (*cluster).resume),
			steps.New("stop", (*cluster).stop), steps.New("block", (*cluster).block), steps.New("isolate", (*cluster).isolate),
			steps.New("heal", (*cluster).heal), steps.New("list", (*cluster).list), steps.New("deliverStale", (*cluster).deliverStale),
			steps.New("recover", (*cluster).recover),
		).TestingRun(t)
	}
}
