package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"dandelionrock.example/dandelionrock/platform/fake"
)

const (
	// lapseOutage is the length of the outage in which rows expire, and maxRewrite
	// the time after it within which the platform's targets write theirs again.
	lapseOutage = 3500 * time.Millisecond
	maxRewrite  = 2 * time.Second
	// lapseInterval is the time between rounds of requests to all instances.
	lapseInterval = 20 * time.Millisecond
)

// checkLapse expires the rows of all targets in an outage of the store, without
// other faults, and checks that no instance refuses requests for want of a target
// before the rows are back. In half of the runs one more instance starts during the
// outage.
func (s *soakRun) checkLapse() {
	s.logAction("rows expire in an outage of the store")
	f := []fake.Fault{fake.Unavailable, fake.Unresponsive}[s.random.IntN(2)]
	s.store.SetFault(f, nil)
	for _, v := range s.targets {
		if !v.retired {
			v.ExpireRow()
		}
	}
	time.Sleep(lapseOutage / 2)
	live := s.instances
	if s.random.IntN(2) == 0 {
		i := live[s.random.IntN(len(live))]
		s.logAction("kill %s", i.id)
		s.stop(i, syscall.SIGKILL)
		s.start(i)
		live = slices.DeleteFunc(slices.Clone(live), func(v *instance) bool { return v == i })
	}
	time.Sleep(lapseOutage / 2)
	s.store.SetFault(0, nil)
	s.requestDuringLapse(live)
	for _, v := range s.targets {
		if !v.retired {
			v.RestoreRow()
		}
	}
}

// requestDuringLapse sends requests to instances for maxRewrite.
func (s *soakRun) requestDuringLapse(live []*instance) {
	h := &http.Client{Timeout: deadline}
	defer h.CloseIdleConnections()
	r := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	before := len(s.refusals)
	// A request may take so long that its round ends after the time for which missing
	// rows must be taken for expired ones.
	end := time.Now().Add(maxRewrite)
	for ; time.Now().Before(end); time.Sleep(lapseInterval) {
		for _, i := range live {
			if !time.Now().Before(end) {
				break
			}
			s.request(h, i, fmt.Sprintf("lapse-%s-%d", i.id, r.Uint64()), r)
		}
	}
	if n := len(s.refusals) - before; n > 0 {
		s.addViolation("%d requests were refused although all targets live and their rows had just expired, the first %s", n, s.refusals[before])
	}
}
