package syncer

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/peer"
)

// deputy is an instance that reads the store in place of the readers, and the time
// until which it does so at least.
type deputy struct {
	id    string
	until clock.Time
}

// current returns the id of the deputy, or "" if its time is over.
func (d deputy) current(now clock.Time) string {
	if now > d.until {
		return ""
	}
	return d.id
}

// source returns the instance that is asked for its copies by the pull with number n.
// It is the first one that is not self of those that candidates returns, in turn.
func source(n int, c []peer.Instance, self string) (peer.Instance, bool) {
	for i := range c {
		// Which candidates there are depends on n modulo 2 and 3.
		if v := c[(n/2+i)%len(c)]; v.ID != self {
			return v, true
		}
	}
	return peer.Instance{}, false
}

// candidates returns the instances of which one is asked for its copies by the pull
// with number n. age is the age of the copy of the targets, and stale the age from
// which it is stale. region holds the instances of the region in the order in which
// they read the store, and far the readers of other regions, if these are asked.
//
// The readers are always asked, since they may have the store again. If the copy is
// stale, every other pull is to those that stand in for them by now, and not to any
// instance: few of a large region have a recent copy.
func candidates(n int, age, stale time.Duration, region, far []peer.Instance, deputy string) []peer.Instance {
	near := region[:min(readers, len(region))]
	if age > stale && n%3 == 2 && len(far) > 0 {
		return far
	}
	if n%2 == 0 {
		return near
	}
	others := region[len(near):]
	if i := slices.IndexFunc(others, func(p peer.Instance) bool { return p.ID == deputy }); i >= 0 {
		return others[i : i+1]
	}
	if age <= stale || len(others) == 0 {
		return near
	}
	standIns := 1 + int((age-stale)/standInDelay)
	return others[:min(standIns, len(others))]
}
