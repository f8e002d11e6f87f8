package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/plan/place"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
)

// destination is a group of targets and their place.
type destination struct {
	id group.ID
	at peer.Place
}

// Reasons for which no target may run a request, beside pool.ReasonNoTarget.
const (
	// reasonEvacuated states that all targets are in evacuated failure domains, and
	// reasonOutside that they, or the owner of the key, are outside of the regions to which
	// the request is bound.
	reasonEvacuated = "targets-evacuated"
	reasonOutside   = "outside-home-regions"
	// reasonCrossed states that the body has been sent to another region in vain, and would
	// have to be sent to one again.
	reasonCrossed = "body-crossed"
)

// chooseGroup returns the group for the next try. If there is none, it fails the request.
func (q *request) chooseGroup(c context.Context) (realm.Permitted[destination], bool) {
	if q.service.Keyed {
		return q.ownerGroup(c)
	}
	e := q.entry
	v := e.Views.View()
	slots := map[string]int{}
	for _, t := range v.Services[q.service.Name] {
		if t.Open() && !slices.Contains(q.full, t.FailureDomain) && !slices.Contains(q.exclude, t.ID) {
			slots[t.FailureDomain] += t.Slots
		}
	}
	permitted := map[string]realm.Permitted[destination]{}
	var cs []place.Candidate
	for d, n := range slots {
		if p, ok := q.permit(group.ID{Service: q.service.Name, FailureDomain: d}, d); ok && q.mayCross(p) {
			permitted[d] = p
			cs = append(cs, place.Candidate{Service: q.service.Name, Domain: d, Distance: e.distance(d), Slots: n})
		}
	}
	b, ok := e.loads.Choose(clock.Boot(), place.Request{Objective: q.objective, Deadline: q.end, Body: len(q.message.Body)}, cs)
	if !ok {
		q.giveUp(q.whyNone(v.Services[q.service.Name]))
		return realm.Permitted[destination]{}, false
	}
	return permitted[b.Domain], true
}

// permit returns a group in a failure domain as a destination, or false if the request
// must not run there.
func (q *request) permit(id group.ID, domain string) (realm.Permitted[destination], bool) {
	at := q.entry.place(domain)
	return realm.Admit(q.realm, destination{id, at}, at.Region)
}

// maxRecrossing is the length in bytes up to which a body may be sent to other regions
// more than once: headers and response together are about as long.
const maxRecrossing = 4 << 10

// mayCross reports whether the request may be sent to a destination: a body is sent to
// another region once.
func (q *request) mayCross(to realm.Permitted[destination]) bool {
	return !q.crossed || len(q.message.Body) <= maxRecrossing || to.Value().at.Region == q.entry.Self.Region
}

// whyNone returns the reason for which none of the targets of a service may run the
// request.
func (q *request) whyNone(targets []*platform.Target) string {
	evacuated := false
	for _, t := range targets {
		switch {
		case t.Leaving:
		case q.realm.Holds(q.entry.Region(t.FailureDomain)):
			if !t.Evacuated {
				return pool.ReasonNoTarget
			}
			evacuated = true
		}
	}
	switch {
	case evacuated:
		return reasonEvacuated
	case q.realm.Bounded() && len(targets) > 0:
		return reasonOutside
	}
	return pool.ReasonNoTarget
}

// giveUp ends a request for which no target is left to try. A reply or reason of
// an earlier try takes precedence.
func (q *request) giveUp(reason string) {
	if q.reply != nil {
		return
	}
	if q.reason != "" {
		reason = q.reason
	}
	q.fail(http.StatusServiceUnavailable, reason, max(q.retryAfter, retryAfterNoTarget))
}

// distance returns the distance from this instance to a failure domain.
func (e *Entry) distance(domain string) place.Distance {
	switch {
	case domain == e.Self.FailureDomain:
		return place.Same
	case e.Region(domain) == e.Self.Region:
		return place.Region
	}
	return place.Far
}

// place returns the place of a failure domain.
func (e *Entry) place(domain string) peer.Place {
	return peer.Place{Region: e.Region(domain), FailureDomain: domain}
}

// ownerGroup returns the group of the target that owns the request's key. If there
// is none, it waits for one for up to keyWait.
func (q *request) ownerGroup(c context.Context) (realm.Permitted[destination], bool) {
	e := q.entry
	limit := time.NewTimer(keyWait)
	defer limit.Stop()
	for {
		n, changed := e.Owners.Find(clock.Boot(), q.service.Name, q.key)
		if n != nil {
			q.target = n.Target
		}
		if n != nil && !slices.Contains(q.exclude, q.ownerID(n)) {
			if t := e.Views.View().Targets[n.Target]; t != nil && t.Born == n.Born && t.Open() {
				e.clearMissing(n)
				p, ok := q.permit(group.ID{Service: q.service.Name, Target: t.ID}, t.FailureDomain)
				switch {
				case !ok:
					q.giveUp(reasonOutside)
				case !q.mayCross(p):
					q.giveUp(reasonCrossed)
					return p, false
				}
				return p, ok
			}
			if e.ownerLost(n) {
				q.retryAfter = retryAfterOwnerLost
				q.giveUp("owner-lost")
				return realm.Permitted[destination]{}, false
			}
		}
		select {
		case <-changed:
		case <-limit.C:
			q.giveUp("no-owner")
			return realm.Permitted[destination]{}, false
		case <-c.Done():
			q.failDeadline()
			return realm.Permitted[destination]{}, false
		}
	}
}

// ownerLost reports whether the owner of a range has been missing for more than
// ownerLostAfter, since the first call for it.
func (e *Entry) ownerLost(n *schema.KeyRange) bool {
	now, k := clock.Boot(), runID(n)
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.missingSince[k]
	if !ok {
		e.missingSince[k] = now
		return false
	}
	return now.Sub(since) > ownerLostAfter
}

// clearMissing records that the owner of a range is in the view.
func (e *Entry) clearMissing(n *schema.KeyRange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.missingSince) > 0 {
		delete(e.missingSince, runID(n))
	}
}

// runID identifies the run of the target that owns a range.
func runID(n *schema.KeyRange) string { return n.Target + "/" + strconv.FormatInt(n.Born, 10) }

// ownerID identifies the owner of a range under one fence: a target that rejected
// a request for a key is tried again under a higher fence.
func (q *request) ownerID(n *schema.KeyRange) string {
	return n.Target + "@" + strconv.FormatUint(n.Fence, 10)
}
