package entry

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/gate/warden"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/plan/stop"
	"dandelionrock.example/dandelionrock/internal/state/alive"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
)

// fixedView is a group.Views with a view that doesn't change.
type fixedView struct{ v *view.View }

func (f fixedView) View() *view.View { return f.v }

func newEntry(t *testing.T, configured bool) *Entry {
	t.Helper()
	v := view.Empty()
	if configured {
		d, err := platform.DecodeDesired(fake.Configuration(1, ""))
		if err != nil {
			t.Fatal(err)
		}
		v.Desired = d
	}
	m := meter.New(zerolog.Nop())
	t.Cleanup(func() { _ = m.Close() })
	self := peer.Instance{ID: "i"}
	a := alive.New("i")
	d := warden.New(warden.Options{Self: self, Views: fixedView{v}, Alive: a, Log: zerolog.Nop(), Meter: m})
	e := New(Options{
		Self: self, Views: fixedView{v}, Homes: group.New(fixedView{v}, sender.New(depot.New()), d, nil, zerolog.Nop(), m), Alive: a, Warden: d,
		Owners: &keys.Owners{}, Bodies: depot.New(), Log: zerolog.Nop(), Meter: m, Leaving: func() bool { return false }, Stop: func() *stop.Schedule { return nil }, Age: func() time.Duration { return 0 }, ConfigurationAge: func() time.Duration { return 0 },
	})
	e.SetConfigApply(fake.ConfigApply)
	return e
}

func get(host, path string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "http://"+host+path, nil)
	r.Header.Set(platform.HeaderAttempt, "a")
	r.Header.Set(platform.HeaderDeadline, "1000")
	r.Header.Set(platform.HeaderKey, "7")
	return r
}

// Guards against refusals with the wrong status: 503 states that the request was
// not run and needs a Retry-After, 404 is for requests without a route.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name       string
		configured bool
		host, path string
		status     int
	}{
		{"no configuration", false, "example", "/terms/x", http.StatusServiceUnavailable},
		{"no route for the host", true, "other", "/terms/x", http.StatusNotFound},
		{"no route for the path", true, "example", "/term/x", http.StatusNotFound},
		{"no target", true, "example", "/terms/x", http.StatusServiceUnavailable},
		{"no owner", true, "example", "/quotes/x", http.StatusServiceUnavailable},
	} {
		w := httptest.NewRecorder()
		newEntry(t, c.configured).ServeHTTP(w, get(c.host, c.path))
		if w.Code != c.status || w.Header().Get(platform.HeaderAttempt) != "a" {
			t.Errorf("%s: status %d, headers %v", c.name, w.Code, w.Header())
		}
		if c.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: status 503 without Retry-After", c.name)
		}
	}
}

// Guards against an answer that is final for a route that may have been added: a copy of
// the configuration is too old to know it.
func TestNoRouteByOutdatedConfiguration(t *testing.T) {
	for _, c := range []struct {
		targets, configuration time.Duration
		status                 int
	}{
		{0, 3 * time.Second, http.StatusNotFound},
		{3 * time.Second, time.Second, http.StatusNotFound},
		{3 * time.Second, 4 * time.Second, http.StatusServiceUnavailable},
		{0, 5 * time.Second, http.StatusServiceUnavailable},
	} {
		e := newEntry(t, true)
		e.Age, e.ConfigurationAge = func() time.Duration { return c.targets }, func() time.Duration { return c.configuration }
		w := httptest.NewRecorder()
		e.ServeHTTP(w, get("example", "/term/x"))
		if got := w.Header().Get("Retry-After"); w.Code != c.status || (got != "") != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("%+v: status %d, Retry-After %q", c, w.Code, got)
		}
	}
}

// Guards against a long Retry-After from an instance that has just started, and
// against a short one while the store is unavailable.
func TestRefusalsWithoutConfiguration(t *testing.T) {
	e := newEntry(t, false)
	for _, c := range []struct {
		started clock.Time
		want    string
	}{{clock.Boot(), "0.250"}, {clock.Boot().Add(-2 * startTime), "1.000"}} {
		e.started = c.started
		w := httptest.NewRecorder()
		e.ServeHTTP(w, get("example", "/terms/x"))
		if got := w.Header().Get("Retry-After"); w.Code != http.StatusServiceUnavailable || got != c.want {
			t.Errorf("status %d, Retry-After %s, want %s", w.Code, got, c.want)
		}
	}
}

// Guards against an empty response with status 200 after the client disconnected:
// net/http sends one if a handler returns without a response.
func TestAbortAfterDisconnect(t *testing.T) {
	c, stop := context.WithCancel(context.Background())
	stop()
	defer func() {
		if r := recover(); r != http.ErrAbortHandler {
			t.Errorf("the handler panicked with %v, want http.ErrAbortHandler", r)
		}
	}()
	newEntry(t, true).ServeHTTP(httptest.NewRecorder(), get("example", "/quotes/x").WithContext(c))
}

// Guards against a split that deviates from its weights.
func TestSplit(t *testing.T) {
	e := newEntry(t, true)
	r := &platform.Route{Name: "r", Split: []platform.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := 0
	for range 1000 {
		if e.pickService(r) == "b" {
			n++
		}
	}
	if math.Abs(float64(n)-100) > 10 {
		t.Errorf("%d of 1000 requests go to a service with a weight of 10%%", n)
	}
}

// Guards against giving a retry the full latency objective: a shorter deadline
// than usual, on a new connection, shows that the client has used up a part.
func TestObjectiveOfRetry(t *testing.T) {
	e := newEntry(t, true)
	r := &platform.Route{Name: "r", Objective: 800 * time.Millisecond}
	now := clock.Time(time.Second)
	for range 100 {
		if got, _ := e.objective(now, r, 5*time.Second, true); got != 800*time.Millisecond {
			t.Fatalf("objective of a first attempt is %v, want 800ms", got)
		}
	}
	if got, _ := e.objective(now, r, 4500*time.Millisecond, false); got < 150*time.Millisecond || got > 450*time.Millisecond {
		t.Errorf("objective of a retry is %v, want about 300ms", got)
	}
}

// Guards against a client that gets a number from a home as its status that is none.
func TestInvalidStatusOfReply(t *testing.T) {
	e := newEntry(t, true)
	for status, want := range map[int32]int{0: 502, 7: 502, 101: 502, 199: 502, 200: 200, 599: 599, 600: 502, 999: 502, 1000: 502, -1: 502} {
		q := &request{entry: e, route: &platform.Route{}, service: platform.Service{Keyed: true}}
		a := &schema.SendReply{Outcome: schema.SendOutcome_SEND_OUTCOME_ANSWERED, Status: status}
		checkStatus(a)
		w := httptest.NewRecorder()
		if again := q.handleResult(a, nil, group.ID{}); again {
			t.Errorf("status %d: a request that may have run is repeated", status)
		}
		if q.respond(w); w.Code != want {
			t.Errorf("status %d: the client gets %d, want %d", status, w.Code, want)
		}
	}
}
