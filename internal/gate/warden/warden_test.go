package warden

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/herald"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
)

type fixedView struct{ v *view.View }

func (f fixedView) View() *view.View { return f.v }

// gate serves the calls of other instances.
type gate struct {
	w *Warden
	// delay is called before a crash or a question is handled, and after a crash or an
	// acquittal is.
	delay func(instance, call string)
}

func (g gate) Crash(q *schema.CrashReport, a *schema.CrashReply) error {
	g.delay(g.w.Self.ID, "crash")
	g.w.Report(q, a)
	g.delay(g.w.Self.ID, "crashed "+q.Target)
	return nil
}

func (g gate) Answered(q *schema.AnsweredRequest, a *schema.AnsweredReply) error {
	g.delay(g.w.Self.ID, "answered")
	g.w.HasAnswered(q, a)
	return nil
}

func (g gate) Ban(q *schema.Ban, _ *schema.Empty) error {
	g.w.Import([]*schema.Ban{q})
	return nil
}

func (g gate) Acquit(q *schema.AnsweredRequest, _ *schema.Empty) error {
	g.w.Acquit(q)
	g.delay(g.w.Self.ID, "acquitted")
	return nil
}

func (g gate) Hazards(_ *schema.Empty, a *schema.HazardsReply) error {
	g.w.Hazards(a)
	return nil
}

// newWardens returns the Wardens of instances that know one another. The instance with the
// id late takes calls only when the returned function is called.
func newWardens(t *testing.T, late string, ids ...string) ([]*Warden, func()) {
	t.Helper()
	return newDelayed(t, func(string, string) {}, late, ids...)
}

// newDelayed returns the same with calls that are delayed; see gate.
func newDelayed(t *testing.T, delay func(instance, call string), late string, ids ...string) ([]*Warden, func()) {
	t.Helper()
	v := view.Empty()
	listeners := map[string]net.Listener{}
	for _, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[id] = l
		v.Instances = append(v.Instances, peer.Instance{ID: id, RPCAddress: l.Addr().String()})
	}
	m := meter.New(zerolog.Nop())
	t.Cleanup(func() { _ = m.Close() })
	var out []*Warden
	var begin func()
	for _, i := range v.Instances {
		p := relay.NewPool(relay.Options{})
		h := herald.New(herald.Options{Self: i, Views: fixedView{v}, Pool: p, Log: zerolog.Nop()})
		w := New(Options{Self: i, Views: fixedView{v}, Herald: h, Alive: alive.New(i.ID), Log: zerolog.Nop(), Meter: m})
		s := relay.NewServer(relay.Options{})
		if err := s.RegisterName("Gate", gate{w, delay}); err != nil {
			t.Fatal(err)
		}
		serve := func() { _ = s.Serve(listeners[i.ID]) }
		if i.ID == late {
			begin = func() { go serve() }
		} else {
			go serve()
		}
		t.Cleanup(func() {
			_ = h.Close()
			_ = p.Close()
			_ = s.Close()
		})
		out = append(out, w)
	}
	return out, begin
}

// identity returns the identity of a request in messages.
func identity(text string) []byte {
	id := hazard.IDOf([]byte(text))
	return id[:]
}

// crash reports that a target has crashed under a request that ran alone.
func (w *Warden) crash(target, request string) {
	w.Crashed(hazard.Run{Target: target}, []Victim{{Identity: identity(request)}})
}

// settleLimit bounds the time until all instances know something, on a busy machine.
const settleLimit = 20 * time.Second

// log counts the calls that instances have handled, by "instance call", and the bans that
// did not lack a reply.
type log struct {
	mu    sync.Mutex
	calls map[string]int
	bans  int
}

func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes.Contains(b, []byte("request-banned")) && bytes.Contains(b, []byte(`"unanswered":0`)) {
		l.bans++
	}
	return len(b), nil
}

// newLogged returns the Wardens of three instances, by their rank as judges of "frequent".
func (l *log) newLogged(t *testing.T, delay func(instance, call string)) []*Warden {
	t.Helper()
	ws, _ := newDelayed(t, func(instance, call string) {
		l.add(instance, call)
		delay(instance, call)
	}, "", "a", "b", "c")
	for _, w := range ws {
		w.Log = zerolog.New(l)
	}
	id := hazard.ID(identity("frequent"))
	slices.SortFunc(ws, func(v, w *Warden) int { return v.rank(id) - w.rank(id) })
	t.Cleanup(func() {
		if l.bans > 0 {
			t.Errorf("%d bans with replies of all instances", l.bans)
		}
	})
	return ws
}

func (l *log) add(instance, call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls == nil {
		l.calls = map[string]int{}
	}
	l.calls[instance+" "+call]++
}

// has reports whether all of the calls were handled.
func (l *log) has(calls ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(calls, func(c string) bool { return l.calls[c] == 0 })
}

// await waits for calls.
func (l *log) await(t *testing.T, calls ...string) {
	t.Helper()
	for end := time.Now().Add(settleLimit); !l.has(calls...); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("calls %v, want %v", l.calls, calls)
		}
	}
}

// crashEverywhere reports a crash until the others of three instances have counted it: on a
// busy machine a report can be lost, as between real instances.
func (l *log) crashEverywhere(t *testing.T, w *Warden, target string) {
	t.Helper()
	var calls []string
	for _, i := range w.Herald.Others() {
		calls = append(calls, i.ID+" crashed "+target)
	}
	for end := time.Now().Add(settleLimit); ; {
		w.crash(target, "frequent")
		for begin := time.Now(); time.Since(begin) < herald.CallTimeout; time.Sleep(time.Millisecond) {
			if l.has(calls...) {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("calls %v, want %v", l.calls, calls)
		}
	}
}

// awaitAcquitted waits until no instance suspects or refuses the request "frequent".
func awaitAcquitted(t *testing.T, ws []*Warden) {
	t.Helper()
	blamed := func(w *Warden) bool {
		_, banned := w.Banned(identity("frequent"))
		return banned || w.Suspected(identity("frequent"))
	}
	for end := time.Now().Add(settleLimit); slices.ContainsFunc(ws, blamed); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is still suspected or refused")
		}
	}
}

// Guards against crashes and bans that are forgotten when the instances end that counted
// them, and against an instance that has just started and runs what the others refuse.
func TestKnowledgeOutlivesInstances(t *testing.T) {
	const limit = 2 * time.Second
	ws, begin := newWardens(t, "d", "a", "b", "c", "d")
	old, started := ws[:3], ws[3]
	old[0].crash("t0", "banned")
	time.Sleep(2 * answerTime)
	old[1].crash("t1", "banned")
	old[0].crash("t2", "suspected")
	for _, w := range old {
		for end := time.Now().Add(limit); ; time.Sleep(time.Millisecond) {
			if _, ok := w.Banned(identity("banned")); ok && w.Suspected(identity("suspected")) {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("instance %s doesn't know the ban and the crash", w.Self.ID)
			}
		}
	}
	started.Learn()
	begin()
	c, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	started.Await(c)
	if _, ok := started.Banned(identity("banned")); !ok || !started.Suspected(identity("suspected")) || c.Err() != nil {
		t.Errorf("the started instance: banned %v, suspected %v, %v", ok, started.Suspected(identity("suspected")), c.Err())
	}
	// One more crash is enough, whoever counted the first one.
	started.crash("t3", "suspected")
	for end := time.Now().Add(limit); ; time.Sleep(time.Millisecond) {
		if _, ok := ws[2].Banned(identity("suspected")); ok {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the second crash didn't lead to a ban")
		}
	}
}

// Guards against the ban of a request that a target has answered since its first crash.
func TestAnsweredRequestIsAcquitted(t *testing.T) {
	var l log
	ws := l.newLogged(t, func(string, string) {})
	l.crashEverywhere(t, ws[2], "t0")
	time.Sleep(10 * time.Millisecond)
	ws[1].Answered(identity("frequent"))
	time.Sleep(2 * answerTime)
	l.crashEverywhere(t, ws[0], "t1")
	// Whichever judge acts, it tells the last one.
	l.await(t, ws[2].Self.ID+" acquitted")
	awaitAcquitted(t, ws)
	// The other judges would only act now: further crashes must not end its tries.
	for _, w := range ws {
		a := &schema.CrashReply{}
		if w.Report(&schema.CrashReport{Target: "t2", Identities: [][]byte{identity("frequent")}, Beside: 2}, a); len(a.Accused) > 0 {
			t.Errorf("instance %s takes the request for the cause", w.Self.ID)
		}
		w.Acquit(&schema.AnsweredRequest{Identity: identity("frequent")})
	}
	time.Sleep(3 * deferTime)
	for _, w := range ws {
		if _, ok := w.Banned(identity("frequent")); ok || w.Suspected(identity("frequent")) {
			t.Errorf("instance %s: banned %v, suspected %v", w.Self.ID, ok, w.Suspected(identity("frequent")))
		}
	}
}

// Guards against an acquittal that needs more than the first judge.
func TestFirstJudgeAcquits(t *testing.T) {
	var l log
	ws := l.newLogged(t, func(string, string) {})
	l.crashEverywhere(t, ws[0], "t0")
	time.Sleep(10 * time.Millisecond)
	ws[2].Answered(identity("frequent"))
	time.Sleep(2 * answerTime)
	// The other judges can't act any more.
	for _, w := range ws[1:] {
		_ = w.Herald.Close()
	}
	l.crashEverywhere(t, ws[0], "t1")
	l.await(t, ws[1].Self.ID+" acquitted", ws[2].Self.ID+" acquitted")
	awaitAcquitted(t, ws)
}

// Guards against the ban of a request although an acquittal arrives while a judge waits for
// replies, and against one that stays although the instance that knows its answer replies
// after the ban.
func TestUnansweredQuestion(t *testing.T) {
	for _, acquitted := range []bool{false, true} {
		var l log
		asked, release := make(chan struct{}), make(chan struct{})
		var first sync.Once
		ws := l.newLogged(t, func(_, call string) {
			if call == "answered" {
				first.Do(func() { close(asked) })
				<-release
			}
		})
		l.crashEverywhere(t, ws[0], "t0")
		time.Sleep(10 * time.Millisecond)
		ws[2].Answered(identity("frequent"))
		time.Sleep(answerTime)
		// The other judges can't act any more.
		for _, w := range ws[1:] {
			_ = w.Herald.Close()
		}
		l.crashEverywhere(t, ws[0], "t1")
		<-asked
		banned := func() bool {
			_, ok := ws[0].Banned(identity("frequent"))
			return ok
		}
		if acquitted {
			for _, w := range ws {
				w.Acquit(&schema.AnsweredRequest{Identity: identity("frequent")})
			}
			time.Sleep(2 * (deferTime + herald.CallTimeout))
			if banned() {
				t.Error("a ban follows the acquittal")
			}
		}
		for end := time.Now().Add(settleLimit); !acquitted && !banned(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the ban waits for the reply")
			}
		}
		close(release)
		awaitAcquitted(t, ws)
	}
}

// Guards against a crash that counts although the request was acquitted of it, because the
// report arrives after the acquittal, and against a request that is found unanswered
// because the question takes longer than the target took.
func TestDelayedMessages(t *testing.T) {
	const crash, question = "crash", "answered"
	for _, delayed := range []string{crash, question} {
		var second atomic.Bool
		acquitted, stop := context.WithTimeout(context.Background(), 10*deferTime)
		ws, _ := newDelayed(t, func(instance, call string) {
			switch {
			case call == "acquitted" && instance == "a":
				stop()
			case call != delayed || !second.Load():
			case call == question:
				time.Sleep(answerTime / 2)
			case instance == "a":
				<-acquitted.Done()
			}
		}, "", "a", "b", "c")
		ws[0].crash("t0", "frequent")
		time.Sleep(10 * time.Millisecond)
		ws[2].Answered(identity("frequent"))
		time.Sleep(answerTime)
		second.Store(true)
		ws[1].crash("t1", "frequent")
		suspected := func(w *Warden) bool { return w.Suspected(identity("frequent")) }
		for end := time.Now().Add(10 * deferTime); slices.ContainsFunc(ws, suspected) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(deferTime / 2)
		for _, w := range ws {
			a := &schema.CrashReply{}
			if w.Report(&schema.CrashReport{Target: "t2", Identities: [][]byte{identity("frequent")}, Beside: 2}, a); len(a.Accused) > 0 {
				t.Errorf("delayed %s: instance %s takes the request for the cause", delayed, w.Self.ID)
			}
		}
	}
}

// Guards against the ban of a request that runs everywhere when many targets crash at
// once: it was sent again to one that crashed as well, and is answered a moment later,
// before or after the ban.
func TestFrequentRequestWhileTargetsCrash(t *testing.T) {
	for _, pause := range []time.Duration{answerTime / 3, 3 * answerTime} {
		ws, _ := newWardens(t, "", "a", "b", "c")
		ws[0].crash("t0", "frequent")
		ws[0].Crashed(hazard.Run{Target: "t1"}, []Victim{{Identity: identity("frequent"), Again: true}})
		time.Sleep(pause)
		ws[2].Answered(identity("frequent"))
		time.Sleep(3 * deferTime)
		for _, w := range ws {
			if _, ok := w.Banned(identity("frequent")); ok {
				t.Errorf("answered after %v: instance %s refuses the request", pause, w.Self.ID)
			}
		}
	}
}
