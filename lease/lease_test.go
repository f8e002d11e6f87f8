package lease

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

const origin = clock.Time(time.Hour)

// fixture has a home of term 5 whose upstream owns shard 7 in epoch 3, and the
// Guard of the upstream.
type fixture struct {
	h   *Home
	g   *fence.Guard
	now clock.Time
}

func newFixture(f config.Fencing) *fixture {
	x := &fixture{h: New(Config{
		Organisation: "guild", Service: "quotes", Upstream: "quotes-1", Instance: "i-1",
		Term: 5, Hold: 10 * time.Second, PredecessorHold: 2 * time.Second, TTL: testTTL,
		MaxRequest: time.Second, Fencing: f, CommittedAt: origin, ConfirmedAt: origin,
	}), g: fence.New("b1"), now: origin}
	x.h.Add(7, 3)
	return x
}

// exchange advances the time by 10 ms, sends the next message, handles the answer
// and returns the message. The message is nil if the home may not send.
func (x *fixture) exchange() Grant {
	x.now = x.now.Add(10 * time.Millisecond)
	m, ok := x.h.Grant(x.now)
	if ok {
		_ = x.h.Answer(x.now, x.now, x.g.Handle(x.now, m))
	}
	return m
}

// grant sends messages until the upstream has been granted the shard.
func (x *fixture) grant() *fixture {
	x.exchange()
	x.now++
	x.h.Confirm(x.now)
	x.exchange()
	return x
}

// lateAnswer grants the shard to run b2 of the upstream, drops the answer, and
// then passes a late answer of run b1 to the home, which takes b1 for the newer
// run. This happens if the first of two messages arrives after a restart of the
// upstream and the second before it.
func (x *fixture) lateAnswer() {
	a, _ := x.h.Grant(x.now)
	b, _ := x.h.Grant(x.now + 1)
	l := x.g.Handle(x.now, b)
	x.g = fence.New("b2")
	x.now = x.now.Add(10 * time.Millisecond)
	_ = x.h.Answer(origin, x.now, x.g.Handle(x.now, a))
	x.h.Confirm(x.now + 1)
	m, _ := x.h.Grant(x.now)
	x.g.Handle(x.now, m)
	_ = x.h.Answer(origin+1, x.now, l)
}

// Guards against the dispatch of a request without authority.
func TestCanDispatch(t *testing.T) {
	for _, c := range []struct {
		name string
		f    config.Fencing
		do   func(x *fixture)
		s    shard.ID
		want error
	}{
		{"granted", config.FencingChecked, func(x *fixture) { x.grant() }, 7, nil},
		{"unknown shard", config.FencingChecked, func(x *fixture) { x.grant() }, 8, ErrNotOwned},
		{"removed", config.FencingChecked, func(x *fixture) { x.grant().h.Release(7); x.h.Remove(7) }, 7, ErrNotOwned},
		{"releasing", config.FencingChecked, func(x *fixture) { x.grant().h.Release(7) }, 7, ErrReleasing},
		{"retired", config.FencingChecked, func(x *fixture) { x.grant().h.Retire(x.now) }, 7, ErrReleasing},
		{"superseded", config.FencingChecked, func(x *fixture) { x.grant().h.Supersede() }, 7, ErrSuperseded},
		{"greeting only", config.FencingChecked, func(x *fixture) { x.exchange(); x.exchange() }, 7, ErrNotGranted},
		{"expired", config.FencingChecked, func(x *fixture) { x.grant().now += clock.Time(time.Second) }, 7, ErrNotGranted},
		{"unconfirmed", config.FencingChecked, func(x *fixture) { x.grant().now += clock.Time(9900 * time.Millisecond) }, 7, ErrUnconfirmed},
		{"restored, not yet granted again", config.FencingChecked, func(x *fixture) {
			x.grant().h.Release(7)
			x.exchange()
			x.h.Restore(7)
		}, 7, ErrNotGranted},
		{"new epoch, not yet granted", config.FencingChecked, func(x *fixture) { x.grant().h.Add(7, 5) }, 7, ErrNotGranted},
		{"restarted upstream", config.FencingChecked, func(x *fixture) { x.grant().g = fence.New("b2"); x.exchange() }, 7, ErrNotGranted},
		{"unfenced, predecessor may act", config.FencingNone, func(x *fixture) { x.grant() }, 7, ErrNotGranted},
		{"unfenced", config.FencingNone, func(x *fixture) { x.now = x.h.latestPredecessorEnd }, 7, nil},
		{"unfenced, unconfirmed", config.FencingNone, func(x *fixture) { x.now += clock.Time(9900 * time.Millisecond) }, 7, ErrUnconfirmed},
		{"unknown kind of fencing", "", func(x *fixture) { x.grant() }, 7, ErrNotGranted},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newFixture(c.f)
			c.do(x)
			if _, err := x.h.CanDispatch(x.now, c.s); !errors.Is(err, c.want) {
				t.Errorf("CanDispatch = %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a move while the predecessor may act, a grant may be in force or
// a request may be running, and against a wait that is longer than necessary.
func TestCanMove(t *testing.T) {
	const atOnce clock.Time = 1
	ms := func(n float64) clock.Time { return origin + clock.Time(n*float64(time.Millisecond)) + 1 }
	for _, c := range []struct {
		name string
		f    config.Fencing
		do   func(x *fixture)
		// want is the earliest time at which the shard can be moved; 0 if it
		// cannot be moved at all, atOnce if it can be moved immediately.
		want clock.Time
	}{
		{"not released", config.FencingChecked, func(x *fixture) { x.grant().h.Restore(7) }, 0},
		{"superseded", config.FencingChecked, func(x *fixture) { x.grant().h.Supersede() }, 0},
		{"unknown predecessor", config.FencingChecked, func(*fixture) {}, ms(2525)},
		{"adopted, never granted", config.FencingChecked, func(x *fixture) { x.exchange() }, atOnce},
		{"granted", config.FencingChecked, func(x *fixture) { x.grant().h.Release(7) }, ms(515)},
		{"acknowledged", config.FencingChecked, func(x *fixture) { x.grant().h.Release(7); x.exchange() }, atOnce},
		{"restarted upstream", config.FencingChecked, func(x *fixture) {
			x.grant().g = fence.New("b2")
			x.exchange()
			x.exchange()
		}, ms(525)},
		{"late answer of an earlier run", config.FencingChecked, func(x *fixture) {
			x.lateAnswer()
			if x.g.Check(x.now, Token{Term: 5, Shard: 7, Epoch: 3}) != nil {
				t.Error("the upstream does not serve the shard")
			}
		}, ms(515)},
		{"unfenced predecessor", config.FencingNone, func(*fixture) {}, ms(3030)},
		{"unfenced request", config.FencingNone, func(x *fixture) {
			x.now = x.h.latestPredecessorEnd
			_, _ = x.h.CanDispatch(x.now, 7)
		}, ms(4040) + 1},
		{"unfenced, drained", config.FencingNone, func(x *fixture) {
			x.now = x.h.latestPredecessorEnd
			_, _ = x.h.CanDispatch(x.now, 7)
			x.h.Drained(7)
		}, ms(3030)},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newFixture(c.f)
			c.do(x)
			if c.name != "not released" {
				x.h.Release(7)
			}
			if c.want <= atOnce {
				if ok, _ := x.h.CanMove(x.now, 7); ok != (c.want == atOnce) {
					t.Errorf("CanMove = %v", ok)
				}
				return
			}
			ok, at := x.h.CanMove(x.now, 7)
			if d := at.Sub(c.want); ok && at > x.now || d < -1 || d > 1 {
				t.Errorf("CanMove = %v, %v after the origin; want %v", ok, at.Sub(origin), c.want.Sub(origin))
			}
			if ok, _ = x.h.CanMove(at, 7); !ok {
				t.Error("CanMove is false at the time that it returned")
			}
		})
	}
}

// Guards against an answer that is accepted although it is invalid or of an
// earlier run of the upstream, and against a higher term that is ignored.
func TestAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		sent time.Duration
		a    Answer
		want error
		boot string
	}{
		{"higher term", 0, &schema.GrantReply{BootId: "b1", Term: 6}, ErrSuperseded, "b1"},
		{"higher term of an older run", -time.Second, &schema.GrantReply{BootId: "b0", Term: 6}, ErrSuperseded, "b1"},
		{"no boot id", 0, &schema.GrantReply{Term: 5}, ErrInvalid, "b1"},
		{"sequence never sent", 0, &schema.GrantReply{BootId: "b1", Term: 5, Sequence: 99}, ErrInvalid, "b1"},
		{"late answer of an older run", -time.Second, &schema.GrantReply{BootId: "b0", Term: 4}, nil, "b1"},
		{"new run", 0, &schema.GrantReply{BootId: "b2"}, nil, "b2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newFixture(config.FencingChecked).grant()
			err := x.h.Answer(x.now.Add(c.sent), x.now, c.a)
			if !errors.Is(err, c.want) || x.h.Superseded() != errors.Is(c.want, ErrSuperseded) {
				t.Errorf("Answer = %v, want %v", err, c.want)
			}
			if r := x.h.State(x.now); r.BootID != c.boot || r.NeedsConfirm != (c.boot == "b2") {
				t.Errorf("boot id %q, needs confirmation %v", r.BootID, r.NeedsConfirm)
			}
		})
	}
}

// Guards against an old row that adds a removed shard again, and against the late
// outcome of a move that removes a shard which was added again in the meantime.
func TestEpochsOnlyGrow(t *testing.T) {
	h := newFixture(config.FencingChecked).h
	h.Release(7)
	h.Remove(7)
	h.Add(7, 3)
	if r := h.State(origin); r.Owned != 0 {
		t.Errorf("after an old row: %+v", r)
	}
	h.Add(7, 5)
	h.Remove(7)
	if r := h.State(origin); r.Owned != 1 || r.Releasing != 0 {
		t.Errorf("after the shard was added again: %+v", r)
	}
}

// Guards against a home row that is released while the predecessor may act or a
// request may be running.
func TestRetire(t *testing.T) {
	x := newFixture(config.FencingChecked)
	if ok, at := x.h.Retire(x.now); ok || at != x.h.latestPredecessorEnd {
		t.Errorf("Retire = %v, %v before the term was adopted", ok, at)
	}
	x = newFixture(config.FencingChecked).grant()
	if ok, _ := x.h.Retire(x.now); !ok {
		t.Error("Retire is false after the term was adopted")
	}
	if m := x.exchange(); m != nil {
		t.Errorf("Grant = %v after Retire", m)
	}
	x = newFixture(config.FencingNone)
	x.now = x.h.latestPredecessorEnd
	_, _ = x.h.CanDispatch(x.now, 7)
	if ok, at := x.h.Retire(x.now); ok || at <= x.h.latestPredecessorEnd {
		t.Errorf("Retire = %v, %v with a request that may run", ok, at)
	}
}

// Guards against unintended changes of the messages and of the JSON of the status
// report.
func TestMessages(t *testing.T) {
	x := newFixture(config.FencingChecked)
	var b bytes.Buffer
	show := func(title string) {
		m, err := protojson.Marshal(x.exchange())
		if err != nil {
			t.Fatal(err)
		}
		r, err := json.Marshal(x.h.State(x.now))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s\n", title)
		for _, l := range [][]byte{m, r} {
			if err := json.Compact(&b, l); err != nil {
				t.Fatal(err)
			}
			b.WriteByte('\n')
		}
	}
	show("greeting")
	show("greeting until the row is confirmed")
	x.h.Add(4, 1)
	x.h.Confirm(x.now + 1)
	show("grant")
	x.h.Release(7)
	x.g.SetDraining(true)
	x.g.SetLoad(0.25)
	show("release")
	x.h.Remove(7)
	x.g = fence.New("b2")
	show("refused by the next run")
	show("greeting of the next run")
	x.h.Confirm(x.now + 1)
	show("grant to the next run")
	goldie.New(t).Assert(t, "messages", b.Bytes())
}
