package router

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/platform/fake"
)

// returnBound is the time after an outage of the store within which targets
// whose rows expired meanwhile must be back in the store; a target that is
// missing then is gone.
const returnBound = 2 * time.Second

// Guards against requests that fail because the rows of running targets expired
// during an outage of the store, and against the further use of a target whose
// row did not come back.
func TestLapsedRows(t *testing.T) {
	s := newSystem(t, 2)
	for _, id := range []string{"back", "gone"} {
		s.addTarget(&fake.Target{ID: id, Service: "terms", Domain: "a1", Slots: 8, ServiceTime: time.Millisecond})
	}
	for i := range 2 {
		s.start(i)
	}
	for i := range 2 {
		s.awaitServed(i, "terms", 0)
	}
	time.Sleep(time.Second)
	s.store.SetFault(fake.Unresponsive, nil)
	s.targets["back"].ExpireRow()
	s.targets["gone"].ExpireRow()
	s.serveFor(4*time.Second, "the outage")
	s.store.SetFault(0, nil)
	s.serveFor(returnBound*3/4, "the return of the store")
	s.targets["back"].RestoreRow()
	s.serveFor(returnBound/4+fake.DefaultDrain, "the bound on draining")
	for range 20 {
		for i := range 2 {
			if _, b, err := s.call(i, http.MethodGet, "terms", 0); err != nil || !strings.HasSuffix(b, " by back") {
				t.Errorf("instance %d: answer %q, %v, of a target whose row did not come back", i, b, err)
			}
		}
	}
}

// serveFor sends requests to both instances for a time and checks that all are
// served.
func (s *system) serveFor(d time.Duration, when string) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range 2 {
			if status, _, err := s.call(i, http.MethodGet, "terms", 0); status != http.StatusOK {
				s.t.Errorf("instance %d in %s: status %d, %v", i, when, status, err)
			}
		}
	}
}
