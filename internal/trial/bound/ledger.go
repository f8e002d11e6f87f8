package bound

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ledger holds the demands and what is claimed of them.
type ledger struct {
	figures Figures
	demands []Demand
	// causes has the cause of each demand, Ours at first.
	causes []Cause
	claims []claim
	// requests is set if claims are of requests instead of attempts.
	requests bool
}

// claim states that at least size of the unserved demands of a service that arrive from
// from, and before to, are bound.
type claim struct {
	service  string
	from, to time.Duration
	size     int
	cause    Cause
}

func newLedger(f Figures, demands []Demand) *ledger {
	d := slices.SortedStableFunc(slices.Values(demands), func(a, b Demand) int { return cmp.Compare(a.At, b.At) })
	return &ledger{figures: f, demands: d, causes: make([]Cause, len(d))}
}

// isOpen reports whether a demand was not in time and has no cause yet.
func (l *ledger) isOpen(i int) bool { return l.demands[i].Outcome != InTime && l.causes[i] == Ours }

// Reasons, as logged, of requests whose instance had no usable configuration.
var unknownReasons = []string{"no-configuration", "configuration-outdated"}

// Reasons, as logged, that name a place that is gone.
var goneReasons = []string{"home-unreachable", "home-lost", "target-unreachable", "target-gone", "no-target", "no-owner", "owner-lost"}

func (l *ledger) markUnknown() {
	for i, d := range l.demands {
		stale := l.figures.Stale > 0 && d.Age > l.figures.Stale && slices.Contains(goneReasons, d.Reason)
		if l.isOpen(i) && (stale || slices.Contains(unknownReasons, d.Reason)) {
			l.causes[i] = Unknown
		}
	}
}

// Reasons, as logged, of requests whose key had no owner.
var ownerReasons = []string{"no-owner", "owner-lost"}

func (l *ledger) markMoves(freed []Freed) {
	for _, r := range freed {
		if !r.Lost {
			continue
		}
		first := time.Duration(-1)
		for i, d := range l.demands {
			if d.At >= r.At {
				break
			}
			if d.Service != r.Service || d.Key < r.From || d.Key > r.To || !slices.Contains(ownerReasons, d.Reason) || d.At < r.At-l.figures.Grant {
				continue
			}
			if first < 0 {
				first = d.At
			}
			if l.isOpen(i) && d.At+d.Objective-l.shortest(d) <= min(r.At, first+l.figures.Grant) {
				l.causes[i] = Move
			}
		}
	}
}

// shortest returns the mean time that a demand takes at the fastest targets.
func (l *ledger) shortest(d Demand) time.Duration {
	f := math.Inf(1)
	for _, t := range l.figures.Services[d.Service].Targets {
		f = min(f, t.Factor)
	}
	if math.IsInf(f, 1) {
		return d.Work
	}
	return time.Duration(float64(d.Work) * f)
}

func (l *ledger) claimAll() {
	for _, n := range sorted(l.figures.Services) {
		l.claimKeys(n)
		l.claimRoom(n)
		l.claimSpells(n)
	}
}

// claimKeys claims what exceeds one target, for each key.
func (l *ledger) claimKeys(service string) {
	byKey := map[int][]int{}
	for i, d := range l.demands {
		if d.Service == service && d.Key != NoKey {
			byKey[d.Key] = append(byKey[d.Key], i)
		}
	}
	pace := 0.0
	for _, t := range l.figures.Services[service].Targets {
		pace = max(pace, float64(t.Slots)/t.Factor)
	}
	for _, k := range sorted(byKey) {
		ws, of := l.excess(byKey[k], pace)
		for _, w := range ws {
			l.claim(service, w, of, Key, false)
		}
	}
}

// claimRoom claims what exceeds all targets of a service.
func (l *ledger) claimRoom(service string) {
	pace := 0.0
	for _, t := range l.figures.Services[service].Targets {
		pace += float64(t.Count*t.Slots) / t.Factor
	}
	ws, of := l.excess(l.of(service), pace)
	for _, w := range ws {
		l.claim(service, w, of, Room, true)
	}
}

// claimSpells claims what targets reject in spells, beyond repeats.
func (l *ledger) claimSpells(service string) {
	s, of := l.figures.Services[service], l.of(service)
	for _, p := range s.Spells {
		var c count
		var before float64
		r := l.repeats(of)
		for _, i := range of {
			d := l.demands[i]
			switch {
			case l.causes[i] == Unknown || l.causes[i] == Move:
			case d.At >= p.From && d.At+max(d.Objective, 0) <= p.To:
				c.add(d)
			case d.At < p.From && d.At >= p.From-r.limit && d.Outcome == Refused:
				before++
			}
		}
		n := r.first(c.least(), before)
		if n < 1 {
			continue
		}
		tries, left := 1+s.Repeats+float64(s.Allowance)/n, 1-p.Share
		excess := n * (1 - left*tries)
		if l.requests {
			// Failures are fewest if all requests have as many tries.
			excess = n * math.Pow(p.Share, r.attempts*(1+s.Repeats)+float64(s.Allowance)/n)
		}
		l.claim(service, window{p.From, p.To, int(excess)}, of, Shed, true)
	}
}

// repeats holds how clients repeat requests.
type repeats struct {
	attempts float64
	limit    time.Duration
}

// repeats returns how the clients of demands repeat them; if attempts are counted, each is
// taken as the only one.
func (l *ledger) repeats(of []int) repeats {
	r := repeats{attempts: 1}
	if !l.requests {
		return r
	}
	for _, i := range of {
		d := l.demands[i]
		r.attempts, r.limit = max(r.attempts, float64(d.Attempts)), max(r.limit, d.Limit)
	}
	return r
}

// first returns the least number of requests whose first attempt is among n attempts, when
// before attempts were refused earlier within the limit.
func (r repeats) first(n, before float64) float64 {
	return (n - (r.attempts-1)*before) / r.attempts
}

// of returns the demands of a service.
func (l *ledger) of(service string) []int {
	var of []int
	for i, d := range l.demands {
		if d.Service == service {
			of = append(of, i)
		}
	}
	return of
}

// claim attributes the excess of a window to a cause, for open demands among of. If shared is
// set, earlier claims on overlapping times may be on the same demands and are subtracted.
// Requests refused for lack of a slot go first, late ones last.
func (l *ledger) claim(service string, w window, of []int, c Cause, shared bool) {
	n := w.excess
	if shared {
		for _, e := range l.claims {
			if e.service == service && e.from < w.to && e.to > w.from {
				n -= e.size
			}
		}
	}
	if n <= 0 {
		return
	}
	if l.requests {
		l.claims = append(l.claims, claim{service, w.from, w.to, n, c})
		return
	}
	var open []int
	for _, i := range of {
		if l.isOpen(i) && l.demands[i].At >= w.from && l.demands[i].At < w.to {
			open = append(open, i)
		}
	}
	slices.SortStableFunc(open, func(a, b int) int { return cmp.Compare(l.rank(a), l.rank(b)) })
	n = min(n, len(open))
	for _, i := range open[:n] {
		l.causes[i] = c
	}
	l.claims = append(l.claims, claim{service, w.from, w.to, n, c})
}

// Reasons, as logged, of requests that found no slot.
var fullReasons = []string{"full", "waited-too-long", "overtaken", "target-limit", "targets-paused", "target-rejected"}

func (l *ledger) rank(i int) int {
	switch d := l.demands[i]; {
	case d.Outcome == Late:
		return 2
	case slices.Contains(fullReasons, d.Reason):
		return 0
	}
	return 1
}

func (l *ledger) rows() []Row {
	type id struct{ service, kind string }
	rows := map[id]*Row{}
	for i, d := range l.demands {
		n := id{d.Service, d.Kind}
		r := rows[n]
		if r == nil {
			r = &Row{Service: d.Service, Kind: d.Kind, Left: map[string]int{}}
			rows[n] = r
		}
		reason := d.Reason
		switch d.Outcome {
		case InTime:
			r.InTime += d.Stands
			continue
		case Late:
			r.Late++
			reason = LateReason
		case Refused:
			r.Refused++
		}
		r.By[l.causes[i]]++
		if l.causes[i] == Ours {
			r.Left[reason]++
		}
	}
	var out []Row
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	var l []K
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}
