package router

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/fleet"
	"dandelionrock.example/dandelionrock/platform/fake"
)

// settingsBound is the time within which an instance runs with changed settings.
const settingsBound = 4 * time.Second

// report asks instance i for the state of all.
func (s *system) report(i int) (fleet.Report, error) {
	var r fleet.Report
	a, err := http.Get("http://" + s.ips[i] + ":9464" + fleet.Path)
	if err != nil {
		return r, err
	}
	defer a.Body.Close()
	return r, json.NewDecoder(a.Body).Decode(&r)
}

// awaitReport waits until a report fulfils a condition.
func (s *system) awaitReport(i int, when string, ok func(fleet.Report) bool) {
	s.t.Helper()
	var r fleet.Report
	var err error
	for end := time.Now().Add(settingsBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r, err = s.report(i); err == nil && ok(r) {
			return
		}
	}
	s.t.Fatalf("%s: report %+v, %v", when, r, err)
}

// edit replaces text in the settings file of instance i.
func (s *system) edit(i int, from, to string) {
	s.t.Helper()
	b, err := os.ReadFile(s.files[i])
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(s.files[i], []byte(strings.Replace(string(b), from, to, 1)), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// Guards against instances that go on with old settings without showing it: after a
// signal, a change without one, several signals at once, a file that is half written
// or invalid, and while the store is down.
func TestSettingsDrift(t *testing.T) {
	s := newSystem(t, 3)
	// All instances have the same address of the store.
	s.storeProxies[1], s.storeProxies[2] = s.storeProxies[0], s.storeProxies[0]
	s.addTarget(&fake.Target{ID: "t", Service: "terms", Domain: "a1", Slots: 8, ServiceTime: time.Millisecond})
	for i := range 3 {
		s.start(i)
	}
	agree := func(r fleet.Report) bool { return len(r.Instances) == 3 && r.Deviating() == 0 }
	deviates := func(id, in string) func(fleet.Report) bool {
		return func(r fleet.Report) bool {
			return r.Deviating() == 1 && len(r.Instances) == 3 && r.Instances[id[1]-'0'].ID == id && strings.Join(r.Instances[id[1]-'0'].Deviations, " ") == in
		}
	}
	s.awaitReport(0, "after the start", agree)
	before, _ := s.report(0)

	s.edit(1, "drain=2500ms", "drain=2400ms")
	s.awaitReport(0, "a change without a signal", deviates("i1", "settings"))
	s.store.SetFault(fake.Unavailable, nil)
	for _, i := range []int{0, 2} {
		s.edit(i, "drain=2500ms", "drain=2400ms")
		for range 5 {
			s.reloads[i] <- os.Interrupt
		}
	}
	s.awaitReport(2, "signals while the store is down", agree)
	s.store.SetFault(0, nil)
	if r, _ := s.report(2); r.Settings == before.Settings {
		t.Error("the digest has not changed")
	}

	s.edit(2, "retry-window=10s", "retry-window=soon")
	s.awaitReport(0, "an invalid value", deviates("i2", "settings-fault"))
	s.edit(2, "retry-window=soon,retry-allowance=64,hold-max=10000ms", "retry-win")
	s.awaitReport(0, "half a file", deviates("i2", "settings-fault"))
	s.edit(2, "retry-win", "retry-window=10s,retry-allowance=64,hold-max=9000ms")
	s.awaitReport(0, "a field that needs a restart", deviates("i2", "restart-needed"))
	s.edit(2, "hold-max=9000ms", "hold-max=10000ms")
	s.awaitReport(0, "the field as before", agree)

	s.stops[1]()
	s.edit(1, "drain=2400ms", "drain=2300ms")
	<-s.ended[1]
	s.awaitReport(0, "an instance that has left", func(r fleet.Report) bool { return len(r.Instances) == 2 && r.Deviating() == 0 })
}
