package router

import (
	"net/http"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/fault/proxy"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

// evacuationBound is the time after its confirmation from which a failure domain that is
// evacuated gets nothing.
const evacuationBound = 5 * time.Second

// boundRoute is a route whose requests run in region b only.
const boundRoute = `,{"name":"bound","host":"example","prefix":"/bound/","type":"upload","timeout":"2500ms","service":"terms","attempts":2,"home-regions":["b"]}`

// newPlaces returns a system with a service without keys and one with keys, each with
// targets in two regions.
func newPlaces(t *testing.T) *system {
	s := newSystem(t, 3)
	s.store.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(1, boundRoute))
	for id, domain := range map[string]string{"near": "a1", "far": "b1"} {
		s.addTarget(&fake.Target{ID: "t-" + id, Service: "terms", Domain: domain, Slots: 8, ServiceTime: time.Millisecond})
		s.addTarget(&fake.Target{ID: "q-" + id, Service: "quotes", Domain: domain, Keyed: true, Slots: 8, ServiceTime: time.Millisecond})
	}
	s.startServing(3, "quotes", "terms")
	return s
}

// Evacuates a failure domain while the store is away from one of three instances. Guards
// against requests and keys that stay there, and against targets that stay unused after
// the domain is taken back.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	s := newPlaces(t)
	s.storeProxies[2].Set(proxy.Reset)
	s.store.Put(platform.TableDesired, platform.PrefixEvacuated+"a1", []byte("{}"))
	time.Sleep(evacuationBound)
	emptied := time.Now()
	for i := range 60 {
		service := []string{"quotes", "terms"}[i%2]
		if status, _, err := s.call(i%3, http.MethodGet, service, i*1091); status != http.StatusOK {
			t.Errorf("request for %s: status %d, %v", service, status, err)
		}
	}
	for _, id := range []string{"t-near", "q-near"} {
		if n := s.targets[id].Arrivals(emptied); n > 0 {
			t.Errorf("%d requests reached %s, whose domain is evacuated", n, id)
		}
	}
	s.store.Remove(platform.TableDesired, platform.PrefixEvacuated+"a1")
	back := time.Now()
	for s.targets["t-near"].Arrivals(back) == 0 {
		if time.Since(back) > evacuationBound {
			t.Fatal("the domain that was taken back gets no requests")
		}
		s.awaitServed(0, "terms", 0)
	}
}

// Guards against requests that run outside of the home regions of their route, and against
// a request that is sent elsewhere instead of refused when no target is left in them.
func TestHomeRegions(t *testing.T) {
	t.Parallel()
	s := newPlaces(t)
	bound := func(i int) int {
		status, _, err := s.callPath(i%3, http.MethodPost, "/bound/x", 0)
		if err != nil {
			t.Error(err)
		}
		return status
	}
	begin := time.Now()
	for i := range 30 {
		if status := bound(i); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	s.targets["t-far"].Leave()
	time.Sleep(evacuationBound)
	for i := range 6 {
		if status := bound(i); status != http.StatusServiceUnavailable {
			t.Errorf("status %d without a target in the region", status)
		}
	}
	if n := s.targets["t-near"].Arrivals(begin); n > 0 {
		t.Errorf("%d requests ran outside of their region", n)
	}
}
