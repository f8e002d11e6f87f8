package soak

import (
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

// evacuate evacuates a random failure domain for a time, unless one is evacuated or a
// service would have no targets.
func (s *soakRun) evacuate(d time.Duration) {
	domain := domains[s.random.IntN(len(domains))].domain
	if s.evacuated.Load() || !s.servedOutside(domain) {
		return
	}
	s.logAction("evacuate %s for %v", domain, d)
	s.evacuated.Store(true)
	s.store.Put(platform.TableDesired, platform.PrefixEvacuated+domain, []byte("{}"))
	s.ledger.SetEvacuated(domain, true)
	s.after(d, func() {
		s.ledger.SetEvacuated(domain, false)
		s.store.Remove(platform.TableDesired, platform.PrefixEvacuated+domain)
		s.evacuated.Store(false)
	})
}

// servedOutside reports whether each service has targets outside of a failure domain that
// are not retired.
func (s *soakRun) servedOutside(domain string) bool {
	outside := map[string]bool{}
	for _, v := range s.targets {
		if !v.retired && v.Domain != domain {
			outside[v.Service] = true
		}
	}
	return len(outside) == 3
}

// turnCold makes the targets of a random failure domain cold.
func (s *soakRun) turnCold() {
	domain := domains[s.random.IntN(len(domains))].domain
	s.logAction("the targets of %s turn cold", domain)
	for _, v := range s.targets {
		if v.Domain == domain {
			v.TurnCold(4 * time.Second)
		}
	}
}

// settleEvacuated settles with a failure domain evacuated, if one can be.
func (s *soakRun) settleEvacuated() {
	s.evacuate(settleTime - time.Second)
	s.settle()
	s.pendingUndos.Wait()
	time.Sleep(fake.EvacuationBound / 2)
}
