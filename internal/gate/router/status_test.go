package router

import (
	"net/http"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/platform/fake"
)

// Guards against a client that gets a number as its answer that is no status, with and
// without keys, and against an idempotent request that isn't sent to another target.
func TestInvalidStatusOfTarget(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		s := newSystem(t, 1)
		odd := &fake.Target{ID: "odd", Service: "terms", Domain: "a1", Slots: 2, ServiceTime: time.Millisecond, Status: status}
		s.addTarget(odd)
		s.addTarget(&fake.Target{ID: "owner", Service: "quotes", Domain: "a1", Keyed: true, Slots: 2, ServiceTime: time.Millisecond, Status: status})
		s.addTarget(&fake.Target{ID: "o", Service: "orders", Domain: "a1", NonIdempotent: true, Slots: 2, ServiceTime: time.Millisecond, Status: status})
		s.start(0)
		for service, method := range map[string]string{"terms": http.MethodGet, "quotes": http.MethodGet, "orders": http.MethodPost} {
			got := 0
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && (got == 0 || got == http.StatusServiceUnavailable); time.Sleep(20 * time.Millisecond) {
				got, _, _ = s.call(0, method, service, 1)
			}
			if got != http.StatusBadGateway {
				t.Errorf("status %s of %s: the client got %d", status, service, got)
			}
		}
		s.addTarget(&fake.Target{ID: "good", Service: "terms", Domain: "a1", Slots: 2, ServiceTime: time.Millisecond})
		before := time.Now()
		s.awaitServed(0, "terms", 1)
		for range 20 {
			if got, _, err := s.call(0, http.MethodGet, "terms", 1); err != nil || got != http.StatusOK {
				t.Errorf("status %s beside a sound target: %d, %v", status, got, err)
			}
		}
		t.Logf("status %s: %d requests met the unsound target as well", status, odd.Arrivals(before))
	}
}
