package peer

import (
	"fmt"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/schema"
)

const start Time = 1e9

func at(d time.Duration) Time { return start.Add(d) }

func heartbeat(id, incarnation string, clock uint64) *schema.HeartbeatRequest {
	return &schema.HeartbeatRequest{InstanceId: id, Incarnation: incarnation, Clock: clock}
}

func newDetector() *Detector { return New(Config{Self: Instance{ID: "self", Incarnation: "1"}}) }

func wantState(t *testing.T, d *Detector, id string, s State) {
	t.Helper()
	if i, _ := d.Instance(id); i.State != s {
		t.Errorf("state of %s = %v, want %v", id, i.State, s)
	}
}

// Guards against a suspicion that comes late or is caused by a pause of this
// process, and against a list that takes precedence over heartbeats.
func TestSuspicion(t *testing.T) {
	d := newDetector()
	d.RecordHeartbeat(at(0), heartbeat("a", "1", 1))
	d.RecordList(at(0), []Listing{{ID: "b"}, {ID: "c", Leaving: true}})
	wantState(t, d, "a", Live)
	wantState(t, d, "b", Unknown)
	for i := range 9 {
		d.Tick(at(time.Duration(i) * 50 * time.Millisecond))
	}
	wantState(t, d, "a", Live)
	d.Tick(at(2 * time.Second))
	wantState(t, d, "a", Live)
	if d.Pauses() != 1 {
		t.Errorf("Pauses = %d, want 1", d.Pauses())
	}
	for i := range 9 {
		d.Tick(at(2*time.Second + time.Duration(i)*50*time.Millisecond))
	}
	c := d.Tick(at(2401 * time.Millisecond))
	if len(c) != 2 || c[0].Instance.State != Gone || c[1].Instance.State != Suspect {
		t.Errorf("changes = %+v, want a Gone, because the list lacks it, and b Suspect", c)
	}
	if len(d.Live()) != 1 {
		t.Errorf("Live = %v, want only self", d.Live())
	}
}

// Guards against a delayed message of an earlier run that replaces the current
// run, and against a takeover from a run that has just started.
func TestIncarnations(t *testing.T) {
	d := newDetector()
	d.RecordHeartbeat(at(0), heartbeat("a", "1", 10))
	d.Expect(at(0), "a", "2")
	if !d.Runs(at(0), "a", "1") || !d.Runs(at(0), "a", "2") {
		t.Error("a run that was just expected doesn't count as alive")
	}
	d.RecordHeartbeat(at(0), heartbeat("a", "2", 20))
	d.RecordHeartbeat(at(1), heartbeat("a", "1", 11))
	if i, _ := d.Instance("a"); i.Incarnation != "2" {
		t.Errorf("incarnation = %s, want 2", i.Incarnation)
	}
	d.Expect(at(0), "a", "1")
	for i := range 10 {
		d.Tick(at(time.Duration(i) * 50 * time.Millisecond))
		d.RecordHeartbeat(at(time.Duration(i)*50*time.Millisecond), heartbeat("a", "2", 21))
	}
	if d.Runs(at(450*time.Millisecond), "a", "1") {
		t.Error("an earlier run still counts as alive")
	}
	if c := d.Tick(at(450 * time.Millisecond)); len(c) != 0 {
		t.Errorf("changes = %v, want none, since the last Tick returned them", c)
	}
}

// Guards against a takeover by an instance that is cut off from the others, and
// against one from an instance whose heartbeats others receive.
func TestConfirmed(t *testing.T) {
	no, yes, other := Answer{}, Answer{true, "1"}, Answer{true, "2"}
	for _, x := range []struct {
		asked   int
		answers []Answer
		want    bool
	}{
		{0, nil, true},
		{1, nil, false},
		{1, []Answer{no}, true},
		{3, []Answer{no}, false},
		{3, []Answer{no, other}, true},
		{3, []Answer{no, no, yes}, false},
	} {
		if got := Confirmed("1", x.asked, x.answers); got != x.want {
			t.Errorf("Confirmed(1, %d, %v) = %t", x.asked, x.answers, got)
		}
	}
}

// testInstances returns 12 instances in 3 regions and 6 failure domains.
func testInstances() []Instance {
	var r []Instance
	for i := range 12 {
		r = append(r, Instance{
			ID: fmt.Sprintf("i%d", i), Region: fmt.Sprintf("r%d", i/4), FailureDomain: fmt.Sprintf("d%d", i/2),
		})
	}
	return r
}

// Guards against a successor in the upstream's own failure domain, which may have
// failed as a whole, and against a successor that changes when another instance
// leaves or joins.
func TestSuccessorIsStable(t *testing.T) {
	all, count := testInstances(), map[string]int{}
	for u := range 600 {
		name, p := fmt.Sprint(u), Place{"r1", "d2"}
		s := Successor(name, p, all)
		if s[0].FailureDomain != "d3" || s[2].FailureDomain != "d2" || s[4].Region == "r1" {
			t.Fatalf("order = %v", s)
		}
		count[s[0].ID]++
		for i := range all {
			rest := append(append([]Instance{}, all[:i]...), all[i+1:]...)
			if n := Successor(name, p, rest); all[i].ID != s[0].ID && n[0].ID != s[0].ID {
				t.Fatalf("successor of %s changed from %s to %s when %s left", name, s[0].ID, n[0].ID, all[i].ID)
			}
		}
	}
	if count["i6"] < 240 || count["i7"] < 240 {
		t.Errorf("upstreams per successor: %v, want about 300 for i6 and i7", count)
	}
}

// Guards against assignments that are not proportional to the weights.
func TestAssigneeWeighted(t *testing.T) {
	all, n := testInstances(), 0
	all[3].Weight = 4
	for s := range 3000 {
		if i, ok := Assignee(fmt.Sprint(s), all); ok && i.ID == "i3" {
			n++
		}
	}
	if n < 700 || n > 900 {
		t.Errorf("the instance with weight 4 of 15 is assigned %d of 3000 tasks, want about 800", n)
	}
	if _, ok := Assignee("s", nil); ok {
		t.Error("Assignee returns true for an empty list")
	}
}
