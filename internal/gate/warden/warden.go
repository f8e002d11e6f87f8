// Package warden shares among the instances which requests crash the targets that run
// them. An instance that sees a target crash tells the others which requests ran there, so
// that all count the crashes. Each request has judges: the first instances in an order
// that all agree on. The first one that finds the request to be the cause has all instances
// refuse it.
package warden

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/herald"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

const (
	// judges is the number of instances whose opinion is awaited after a crash.
	judges = 2
	// deferTime is how much longer each further judge waits before it acts: the time in
	// which the ones before it reach all instances.
	deferTime = 200 * time.Millisecond
	// answerTime is the shortest time from the first crash to the question whether the
	// request was answered since, in which a request that comes often is answered.
	answerTime = 100 * time.Millisecond
	// lateTime is how long a reply to the question is awaited that lifts a ban which did
	// not wait for it.
	lateTime = 2 * time.Second
)

// Reason is the reason for which a request is refused that crashes targets.
const Reason = "crashes-targets"

// Options are the dependencies of a Warden.
type Options struct {
	Self   peer.Instance
	Views  interface{ View() *view.View }
	Herald *herald.Herald
	Alive  *alive.Set
	Log    zerolog.Logger
	Meter  *meter.Meter
}

// Warden knows the requests that crash targets. Use New. It is safe for concurrent use.
type Warden struct {
	Options

	mu    sync.Mutex
	table hazard.Table
	// accusing holds the requests about which this instance asks the others, or will if
	// no other judge does.
	accusing map[hazard.ID]bool
	// learned is closed when Learn is done; nil if it was not called.
	learned chan struct{}
}

// New returns a Warden that knows of no crash.
func New(o Options) *Warden {
	return &Warden{Options: o, accusing: map[hazard.ID]bool{}}
}

// idOf returns the identity in a message, or false if there is none.
func idOf(b []byte) (id hazard.ID, ok bool) {
	copy(id[:], b)
	return id, len(b) == len(id)
}

// Banned returns how much longer a request is refused, or false if it isn't.
func (w *Warden) Banned(identity []byte) (time.Duration, bool) {
	b := w.Ban(identity)
	return time.Duration(b.GetLeftMs()) * time.Millisecond, b != nil
}

// Ban returns the ban of a request as a message, or nil if there is none.
func (w *Warden) Ban(identity []byte) *schema.Ban {
	id, ok := idOf(identity)
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	b, banned := w.table.Banned(now, id)
	if !ok || !banned {
		return nil
	}
	return message(now, b)
}

// Suspected reports whether a target that ran a request has crashed recently, as far as
// this instance knows.
func (w *Warden) Suspected(identity []byte) bool {
	id, ok := idOf(identity)
	w.mu.Lock()
	defer w.mu.Unlock()
	return ok && w.table.Suspected(clock.Boot(), id)
}

// Answered records that a target has answered a request. If the request is banned, it was
// running elsewhere when it was accused: all instances lift the ban.
func (w *Warden) Answered(identity []byte) {
	id, ok := idOf(identity)
	if ok && w.acquit(id) {
		w.Log.Warn().Str("event", "ban-lifted").Str("identity", hex.EncodeToString(id[:])).Msg("")
		w.tellAcquittal(id)
	}
}

// acquit records that a request was answered, and reports whether it was banned.
func (w *Warden) acquit(id hazard.ID, runs ...hazard.Run) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Answered(clock.Boot(), id, runs...)
}

// tellAcquittal tells all other instances that a request was answered, and which crashes
// that covers: the message can overtake the reports of them.
func (w *Warden) tellAcquittal(id hazard.ID) {
	q := &schema.AnsweredRequest{Identity: id[:]}
	w.mu.Lock()
	for _, r := range w.table.Cleared(id) {
		q.Cleared = append(q.Cleared, &schema.CrashedRun{Target: r.Target, Born: r.Born})
	}
	w.mu.Unlock()
	w.Herald.Tell("Gate.Acquit", func() proto.Message { return q })
}

// Victim is a request that a target ran when it crashed.
type Victim struct {
	Identity []byte
	// Again is set if the request was sent after another target had crashed under it.
	Again bool
}

// Crashed tells all instances which requests a target ran when it crashed. It returns the
// identities of those that are taken for the cause, as far as their judges answer within
// herald.CallTimeout.
func (w *Warden) Crashed(run hazard.Run, victims []Victim) map[string]bool {
	q := &schema.CrashReport{Target: run.Target, Born: run.Born, Beside: int32(len(victims) - 1)}
	awaited := map[string]bool{}
	for _, v := range victims {
		id, ok := idOf(v.Identity)
		if !ok {
			continue
		}
		q.Identities, q.Again = append(q.Identities, v.Identity), append(q.Again, v.Again)
		o := w.order(id)
		for _, i := range o[:min(judges, len(o))] {
			awaited[i.ID] = true
		}
	}
	accused := map[string]bool{}
	note := func(a *schema.CrashReply) {
		for _, b := range a.Accused {
			accused[string(b)] = true
		}
	}
	own := &schema.CrashReply{}
	w.Report(q, own)
	note(own)
	delete(awaited, w.Self.ID)
	others := w.Herald.Others()
	replies := herald.Ask[schema.CrashReply](w.Herald, others, "Gate.Crash", q)
	for range others {
		if len(awaited) == 0 {
			break
		}
		if r := <-replies; awaited[r.From.ID] {
			note(r.Message)
			delete(awaited, r.From.ID)
		}
	}
	return accused
}

// Report handles the report of an instance.
func (w *Warden) Report(q *schema.CrashReport, a *schema.CrashReply) {
	now := clock.Boot()
	var begin []func()
	w.mu.Lock()
	for n, b := range q.Identities {
		id, ok := idOf(b)
		if !ok {
			continue
		}
		k := hazard.Crash{Run: hazard.Run{Target: q.Target, Born: q.Born}, Alone: q.Beside == 0, Again: n < len(q.Again) && q.Again[n]}
		since, accused := w.table.Crash(now, id, k)
		if accused && !w.accusing[id] {
			w.accusing[id] = true
			begin = append(begin, func() { w.accuse(id, now.Add(-since)) })
		}
		if _, banned := w.table.Banned(now, id); banned || w.table.Accused(now, id) {
			a.Accused = append(a.Accused, b)
		}
	}
	w.mu.Unlock()
	for _, f := range begin {
		f()
	}
}

// order returns the instances in the order in which they are judges of a request.
func (w *Warden) order(id hazard.ID) []peer.Instance {
	// Requests are divided among as many orders as a digit has values.
	return w.Alive.Nearest(w.Views.View(), "judge/"+hex.EncodeToString(id[:1])[:1], peer.Place{})
}

// rank returns the position of this instance in the order of judges of a request.
func (w *Warden) rank(id hazard.ID) int {
	o := w.order(id)
	if n := slices.IndexFunc(o, func(i peer.Instance) bool { return i.ID == w.Self.ID }); n >= 0 {
		return n
	}
	return len(o)
}

// accuse asks all instances whether a target has answered the request since the first of
// its crashes, and if none has, bans it. If this instance is not the first judge, it acts
// only if those before it don't. The crashes may have another cause, so that there must be
// time for the request to be answered. Instances that don't reply within herald.CallTimeout
// are taken not to know an answer, until a late reply lifts the ban.
func (w *Warden) accuse(id hazard.ID, first clock.Time) {
	w.Herald.Run(func() {
		end := sync.OnceFunc(func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.accusing, id)
		})
		defer end()
		wait := time.Duration(w.rank(id))*deferTime + max(answerTime-clock.Boot().Sub(first), 0)
		clock.Sleep(w.Herald.Context(), wait)
		w.mu.Lock()
		accused := w.table.Accused(clock.Boot(), id)
		w.mu.Unlock()
		if !accused || w.Herald.Context().Err() != nil {
			return
		}
		l := w.Log.With().Str("identity", hex.EncodeToString(id[:])).Dur("since", clock.Boot().Sub(first)).Logger()
		q := w.ask(id, first)
		if w.answeredSince(id, first) || q.answered(herald.CallTimeout) {
			l.Info().Str("event", "request-acquitted").Msg("")
			w.acquit(id)
			w.tellAcquittal(id)
			return
		}
		now := clock.Boot()
		w.mu.Lock()
		// An acquittal or a ban may have arrived since the question was asked.
		accused = w.table.Accused(now, id)
		b := w.table.NextBan(now, id)
		if accused {
			w.table.Ban(now, b)
		}
		w.mu.Unlock()
		if !accused {
			return
		}
		// If the ban is lifted, further crashes accuse the request again.
		end()
		l.Warn().Str("event", "request-banned").Dur("length", b.Length).Int("unanswered", q.left).Msg("")
		w.Meter.Banned()
		w.Herald.Tell("Gate.Ban", func() proto.Message { return message(clock.Boot(), b) })
		if q.answered(lateTime) {
			l.Warn().Str("event", "ban-lifted").Msg("")
			// Also if the ban is lifted here: it may arrive elsewhere after the acquittal of
			// another judge.
			w.acquit(id)
			w.tellAcquittal(id)
		}
	})
}

// Acquit receives from another instance that a request was answered.
func (w *Warden) Acquit(q *schema.AnsweredRequest) {
	id, _ := idOf(q.Identity)
	var runs []hazard.Run
	for _, r := range q.Cleared {
		runs = append(runs, hazard.Run{Target: r.GetTarget(), Born: r.GetBorn()})
	}
	w.acquit(id, runs...)
}

// answeredSince reports whether this instance knows that a target has answered a request
// since a time.
func (w *Warden) answeredSince(id hazard.ID, since clock.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.AnsweredSince(since, id)
}

// question asks whether a target has answered a request since a time.
type question struct {
	since   clock.Time
	replies <-chan herald.Reply[*schema.AnsweredReply]
	// left is the number of calls to instances that have not ended.
	left int
}

// ask asks all other instances a question.
func (w *Warden) ask(id hazard.ID, since clock.Time) *question {
	m := &schema.AnsweredRequest{Identity: id[:], WithinMs: clock.Boot().Sub(since).Milliseconds()}
	others := w.Herald.Others()
	return &question{since, herald.AskFor[schema.AnsweredReply](w.Herald, others, herald.CallTimeout+lateTime, "Gate.Answered", m), len(others)}
}

// answered reports whether an instance replies within d that it knows of an answer. The
// time that the question takes counts in favour of the request.
func (q *question) answered(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for q.left > 0 {
		select {
		case r := <-q.replies:
			q.left--
			ago := time.Duration(r.Message.AgoMs) * time.Millisecond
			if r.Message.Answered || r.Message.AgoMs > 0 && clock.Boot().Add(-ago) > q.since {
				return true
			}
		case <-t.C:
			return false
		}
	}
	return false
}

// HasAnswered handles the question of another instance.
func (w *Warden) HasAnswered(q *schema.AnsweredRequest, a *schema.AnsweredReply) {
	id, ok := idOf(q.Identity)
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := w.table.AnsweredAt(id); ok && at > 0 {
		a.Answered = now.Sub(at) < time.Duration(q.WithinMs)*time.Millisecond
		a.AgoMs = max(now.Sub(at).Milliseconds(), 0) + 1
	}
}

// message returns a ban as a message.
func message(now clock.Time, b hazard.Ban) *schema.Ban {
	return &schema.Ban{Identity: b.ID[:], LeftMs: b.Until.Sub(now).Milliseconds(), LengthMs: b.Length.Milliseconds()}
}

// bans returns the bans in force.
func (w *Warden) bans() []hazard.Ban {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Bans(clock.Boot())
}

// Export returns the bans in force, for other instances.
func (w *Warden) Export() []*schema.Ban {
	now := clock.Boot()
	var out []*schema.Ban
	for _, b := range w.bans() {
		out = append(out, message(now, b))
	}
	return out
}

// Digest returns a digest of the bans in force: 0 if there are none.
func (w *Warden) Digest() uint64 {
	var d uint64
	for _, b := range w.bans() {
		d ^= binary.BigEndian.Uint64(b.ID[:])
	}
	return d
}

// Import puts bans of another instance into force.
func (w *Warden) Import(bans []*schema.Ban) {
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range bans {
		if id, ok := idOf(m.GetIdentity()); ok {
			w.table.Ban(now, hazard.Ban{ID: id, Until: now.Add(time.Duration(m.LeftMs) * time.Millisecond), Length: time.Duration(m.LengthMs) * time.Millisecond})
		}
	}
}
