package entry

import (
	"maps"
	"sync"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
	"dandelionrock.example/dandelionrock/schema"
)

// limits holds the limits of targets as the homes of their groups last reported them,
// so that another instance that becomes the home of a group keeps them from the first
// request on. The zero value is empty. It is safe for concurrent use.
type limits struct {
	mu     sync.Mutex
	groups map[group.ID]report
}

// report is what a home has reported of the limits of a group.
type report struct {
	home   string
	limits []*schema.TargetLimit
	at     clock.Time
}

// report records the limits that a home has reported.
func (l *limits) report(now clock.Time, k group.ID, home string, limits []*schema.TargetLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Targets that end are not reported any more.
	maps.DeleteFunc(l.groups, func(_ group.ID, r report) bool { return now.Sub(r.at) > quota.Window })
	if len(limits) == 0 {
		delete(l.groups, k)
		return
	}
	if l.groups == nil {
		l.groups = map[group.ID]report{}
	}
	l.groups[k] = report{home, limits, now}
}

// reportedByOthers returns the limits of a group that another instance than home has
// reported within quota.Window.
func (l *limits) reportedByOthers(now clock.Time, k group.ID, home string) []*schema.TargetLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.groups[k]
	if r.home == home || now.Sub(r.at) > quota.Window {
		return nil
	}
	out := make([]*schema.TargetLimit, 0, len(r.limits))
	for _, n := range r.limits {
		out = append(out, &schema.TargetLimit{Target: n.Target, Born: n.Born, Rate: n.Rate, AgeMs: now.Sub(r.at).Milliseconds()})
	}
	return out
}
