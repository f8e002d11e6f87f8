package entry

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// send sends the request to the home of a group and returns its reply.
func (q *request) send(c context.Context, to realm.Permitted[destination]) (*schema.SendReply, error) {
	e, k := q.entry, to.Value().id
	m := &q.message
	now := clock.Boot()
	q.sentAt = now
	m.Call = e.calls.Add(1)
	m.FailureDomain, m.Target = k.FailureDomain, k.Target
	m.Exclude = q.exclude
	m.LeftMs, m.ObjectiveMs = q.end.Sub(now).Milliseconds(), q.objective.Sub(now).Milliseconds()
	if q.service.Keyed {
		m.Exclude = nil
	}
	h := e.home(q.realm, to)
	i := h.Value()
	q.home = i.ID
	m.Limits = e.limits.reportedByOthers(now, k, i.ID)
	e.loads.Begin(k.Service, k.FailureDomain)
	a := &schema.SendReply{}
	if !q.ran {
		e.beginCall(m.Call, i)
	}
	sent, err := e.call(c, h, q.account, m, a)
	e.endCall(m.Call)
	if sent && i.Region != e.Self.Region && !errors.Is(err, relay.ErrNotSent) {
		q.crossed = true
		e.Meter.Crossed(k.Service, len(m.Body), len(a.Body))
	}
	if err == nil && group.Unavailable(a.Reason) && e.Alive.Suspect(i) {
		e.Log.Info().Str("event", "instance-unavailable").Str("peer", i.ID).Str("reason", a.Reason).Str("request", m.AttemptId).Msg("")
	}
	var l *pool.Load
	if a.Load != nil {
		l = &pool.Load{
			Slots: int(a.Load.Slots), Running: int(a.Load.Running), Waiting: int(a.Load.Waiting), Mean: time.Duration(a.Load.ServiceMs) * time.Millisecond,
			Wait: time.Duration(a.Load.WaitMs) * time.Millisecond,
		}
		e.limits.report(clock.Boot(), k, i.ID, a.Load.Limits)
	}
	e.loads.End(clock.Boot(), k.Service, k.FailureDomain, l)
	if err == nil && a.Target != "" {
		q.target = a.Target
	}
	if q.service.Keyed && err == nil {
		e.countTarget(k, a)
	}
	return a, err
}

// home returns the home of a group: the first instance in the order of
// alive.Set.Nearest that may hold the body of a request with the given realm, without
// this one while it is leaving. If there is none, it returns this instance.
func (e *Entry) home(r realm.Realm, to realm.Permitted[destination]) realm.Permitted[peer.Instance] {
	d := to.Value()
	for _, i := range e.Alive.Nearest(e.Views.View(), d.id.Name(), d.at) {
		if i.ID == e.Self.ID {
			if e.Leaving() {
				continue
			}
			return realm.Reached(i)
		}
		if p, ok := realm.Admit(r, i, i.Region); ok {
			return p
		}
	}
	return realm.Reached(e.Self)
}

// IsHome reports whether this instance is the home of a group of targets in a failure
// domain.
func (e *Entry) IsHome(k group.ID, domain string) bool {
	return !e.Leaving() && e.Alive.IsFirst(e.Views.View(), k.Name(), e.place(domain))
}

// call calls a home. If the client disconnects, it withdraws the request from the
// home. It reports whether the body may have been sent to another instance.
func (e *Entry) call(c context.Context, h realm.Permitted[peer.Instance], t depot.Account, m *schema.SendRequest, a *schema.SendReply) (sent bool, err error) {
	i := h.Value()
	if i.ID == e.Self.ID {
		return false, e.callSelf(c, m, a)
	}
	// The home ends the request at its deadline; the reply arrives a little later.
	d, stop := context.WithTimeout(context.WithoutCancel(c), time.Duration(m.LeftMs)*time.Millisecond+homeMargin)
	defer stop()
	unhook := context.AfterFunc(c, func() {
		if errors.Is(c.Err(), context.Canceled) {
			e.withdraw(i, m.Call)
			stop()
		}
	})
	defer unhook()
	sent, err = e.callHome(d, h, t, m, a)
	if err != nil && c.Err() == nil && !errors.Is(err, relay.ErrTooLarge) && e.Alive.Suspect(i) {
		e.Log.Warn().Str("event", "instance-suspected").Str("instance", i.ID).Str("call", "send").Str("request", m.AttemptId).Err(err).Msg("")
	}
	return sent, err
}

// callSelf is like call if this instance is the home.
func (e *Entry) callSelf(c context.Context, m *schema.SendRequest, a *schema.SendReply) error {
	unhook := context.AfterFunc(c, func() {
		if errors.Is(c.Err(), context.Canceled) {
			_ = e.Homes.Withdraw(&schema.WithdrawRequest{Entry: m.Entry, Call: m.Call}, nil)
		}
	})
	defer unhook()
	return e.Homes.Send(m, a)
}

// beginCall and endCall record a call of a home, for Unqueue. A request that may have run
// can't be refused as not run, so that it goes on waiting.
func (e *Entry) beginCall(call uint64, i peer.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calling[call] = i
}

func (e *Entry) endCall(call uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.calling, call)
}

// withdrawTimeout bounds a call of Gate.Withdraw or Gate.Unqueue.
const withdrawTimeout = time.Second

// withdraw tells a home in the background that the client of a call has
// disconnected.
func (e *Entry) withdraw(i peer.Instance, call uint64) {
	e.tell(i, "Gate.Withdraw", &schema.WithdrawRequest{Entry: e.Self.ID, Call: call})
}

// tell makes a call about a request to its home, in the background.
func (e *Entry) tell(i peer.Instance, method string, q *schema.WithdrawRequest) {
	e.wg.Go(func() {
		c, stop := context.WithTimeout(context.Background(), withdrawTimeout)
		defer stop()
		if err := e.Pool.Call(c, i.RPCAddress, method, q, &schema.Empty{}); err != nil {
			e.Log.Debug().Str("event", "withdraw-failed").Str("instance", i.ID).Str("method", method).Err(err).Msg("")
		}
	})
}
