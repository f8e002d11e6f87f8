package group

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/rs/zerolog"
)

// A failure domain is taken back after an evacuation, and its targets are cold. Guards
// against a burst before their rows or checks say so, and against targets that are limited
// after a check has found them warm.
func TestTargetsOfADomainTakenBack(t *testing.T) {
	m := meter.New(zerolog.Nop())
	defer m.Close()
	views := &fixedView{view.Empty()}
	set := func(n *view.View, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		views.v = n
	}
	set(views.v.WithDesired(mirror.Change{Key: platform.KeyDesired, Value: []byte(`{"version":1,"services":[{"name":"s","warmup-per-s":4}]}`)}))
	set(views.v.WithTargets([]mirror.Change{{Key: "t", Value: []byte(`{"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":50,"state":"ready","warmup-left":"0ms","seq":1,"born":1}`)}}))
	h := New(views, sender.New(depot.New()), nil, nil, zerolog.Nop(), m)
	id := ID{Service: "s", FailureDomain: "z"}
	// started returns how many of 20 requests start now.
	started := func() int {
		now, n := clock.Boot(), 0
		for i := range 20 {
			r := pool.Request{ID: pool.ID(i), Begin: now, Objective: now, Deadline: now}
			d, _ := h.offer(h.home(id), now, views.v, r, nil)
			if d.Verdict == pool.Start {
				n++
				h.home(id).pool.Done(now, "t", 1, time.Millisecond, pool.Answered)
			}
		}
		return n
	}
	if n := started(); n != 20 {
		t.Errorf("%d of 20 requests start at a warm target", n)
	}
	for _, value := range [][]byte{[]byte("{}"), nil} {
		set(views.v.WithDesired(mirror.Change{Key: platform.PrefixEvacuated + "z", Value: value}))
		h.FollowView(views.v)
	}
	if n := started(); n > 1 {
		t.Errorf("%d requests start at a target whose domain was taken back", n)
	}
	h.Checked(Member{id, views.v.Targets["t"]}, platform.Health{ID: "t", Healthy: true})
	set(views.v.WithTargets([]mirror.Change{{Key: "u"}}))
	if n := started(); n != 20 {
		t.Errorf("%d of 20 requests start after a check found the target warm", n)
	}
}
