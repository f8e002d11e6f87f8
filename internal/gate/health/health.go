// Package health checks the targets that may become cold at any moment. The home of a
// target checks it and bounds its requests from then on; the target's row in the store
// would say so one or two seconds later. It also checks targets in slow spells, from which
// requests are held back, for the end of the spell.
package health

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/gate/guard"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/rs/zerolog"
)

const (
	// Interval is the time between two checks of a target. A target that turns cold gets
	// requests without a bound for so long at most.
	Interval = 500 * time.Millisecond
	// heldInterval is the time between two checks of a target in a slow spell.
	heldInterval = 100 * time.Millisecond
	// timeout bounds one check. Targets answer checks at once.
	timeout = 400 * time.Millisecond
)

// Options are the dependencies of a Checker.
type Options struct {
	Views group.Views
	// IsHome reports whether this instance is the home of a group at a failure domain.
	IsHome func(k group.ID, failureDomain string) bool
	// Held returns the targets from which requests are held back in slow spells.
	Held func() []group.Member
	// Checked is called with each answer to a check.
	Checked func(m group.Member, h platform.Health)
	Check   func(context.Context, platform.Endpoint, string) (platform.Health, error)
	Log     zerolog.Logger
	Guard   *guard.Guard
}

// Checker checks targets. Use New.
type Checker struct {
	Options
	group sync.WaitGroup

	mu sync.Mutex
	// busy holds the targets that are being checked, by id.
	busy map[string]bool
}

// New returns a Checker.
func New(o Options) *Checker { return &Checker{Options: o, busy: map[string]bool{}} }

// Run checks the targets of this instance until c ends, and waits for the checks in
// progress.
func (k *Checker) Run(c context.Context) {
	k.group.Go(func() { clock.Every(c, heldInterval, func() { k.checkHeld(c) }) })
	clock.Every(c, Interval, func() { k.checkAll(c) })
	k.group.Wait()
}

// checkAll starts the checks that are due: those of open targets of services that bound
// the rate of cold ones.
func (k *Checker) checkAll(c context.Context) {
	v := k.Views.View()
	if v.Desired == nil {
		return
	}
	for _, s := range v.Desired.Services {
		if s.WarmupRate == 0 || s.HealthPath == "" {
			continue
		}
		for _, t := range v.Services[s.Name] {
			id := group.IDOf(s, t)
			if t.Open() && k.IsHome(id, t.FailureDomain) {
				k.start(c, group.Member{Group: id, Target: t}, s.HealthPath)
			}
		}
	}
}

// checkHeld starts the checks of targets in slow spells.
func (k *Checker) checkHeld(c context.Context) {
	for _, m := range k.Held() {
		if d := k.Views.View().Desired; d != nil && d.Services[m.Group.Service].HealthPath != "" {
			k.start(c, m, d.Services[m.Group.Service].HealthPath)
		}
	}
}

// start starts a check of a target, unless one is in progress.
func (k *Checker) start(c context.Context, m group.Member, path string) {
	if !k.begin(m.Target) {
		return
	}
	k.group.Go(func() {
		defer k.end(m.Target)
		k.Guard.Once("health", func() { k.check(c, m, path) })
	})
}

func (k *Checker) begin(t *platform.Target) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy[t.ID] {
		return false
	}
	k.busy[t.ID] = true
	return true
}

func (k *Checker) end(t *platform.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.busy, t.ID)
}

// check checks one target. One that doesn't answer says nothing about its warm-up.
func (k *Checker) check(c context.Context, m group.Member, path string) {
	c, stop := context.WithTimeout(c, timeout)
	defer stop()
	h, err := k.Check(c, m.Target.Endpoint(), path)
	if err != nil {
		k.Log.Debug().Str("event", "check-failed").Str("target", m.Target.ID).Err(err).Msg("")
		return
	}
	k.Checked(m, h)
}
