package tuning

import (
	"net/netip"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cockroachdb/errors"
)

func example() *platform.Settings {
	return &platform.Settings{
		Instance: "i1", Region: "a", FailureDomain: "a1", Regions: map[string]string{"a1": "a", "b1": "b"},
		Client: netip.MustParseAddrPort("10.0.0.1:80"), Store: netip.MustParseAddrPort("10.0.0.9:81"),
		MaxHold: 10 * time.Second, Grace: 6 * time.Second, Drain: 4 * time.Second, RetryRatio: 0.2, RetryAllowance: 64,
		Memory: 256 << 20, Processor: 1, Link: 100, Present: []string{"drain", "grace", "retry-allowance"},
	}
}

func edited(edit func(*platform.Settings)) *platform.Settings {
	s := example()
	edit(s)
	return s
}

// Guards against instances that seem to run with the same settings although they
// don't, and against ones that seem to differ although only their own place does.
func TestDigest(t *testing.T) {
	d := Digest(example())
	if Digest(edited(func(s *platform.Settings) { s.Instance, s.FailureDomain, s.Memory = "i2", "b1", 1<<30 })) != d {
		t.Error("an instance in another place has another digest")
	}
	for name, edit := range map[string]func(*platform.Settings){
		"drain":           func(s *platform.Settings) { s.Drain++ },
		"retry-allowance": func(s *platform.Settings) { s.RetryAllowance++ },
		"regions":         func(s *platform.Settings) { s.Regions["b1"] = "a" },
		"store-address":   func(s *platform.Settings) { s.Store = s.Client },
	} {
		if Digest(edited(edit)) == d {
			t.Errorf("the digest does not depend on %s", name)
		}
	}
}

// Guards against settings that are in force only after a restart and count as in
// force, and against ones that could be applied and are not.
func TestChangesThatNeedARestart(t *testing.T) {
	k := New(0, example())
	r := k.Read(clock.Time(time.Second), edited(func(s *platform.Settings) {
		s.Drain, s.Processor, s.MaxHold, s.Region = 2*time.Second, 0.5, time.Second, "b"
	}), nil)
	if r.Err != nil || len(r.Changes) != 4 {
		t.Fatalf("Read() = %+v", r)
	}
	if r.InForce.Drain != 2*time.Second || r.InForce.Processor != 0.5 || r.InForce.MaxHold != 10*time.Second || r.InForce.Region != "a" {
		t.Errorf("in force: %+v", r.InForce)
	}
	s := k.State(clock.Time(3 * time.Second))
	if len(s.Waiting) != 2 || s.Waiting[0] != "region" || s.Waiting[1] != "max-hold" || s.Age != 2*time.Second || s.Fault != "" {
		t.Errorf("State() = %+v", s)
	}
	if s.Digest == Digest(example()) {
		t.Error("the digest is that of the settings before")
	}
	if r := k.Read(clock.Time(4*time.Second), example(), nil); len(k.State(0).Waiting) != 0 || len(r.Changes) != 2 {
		t.Errorf("after the file was changed back: %+v, waiting for %v", r, k.State(0).Waiting)
	}
}

// Guards against a file that is invalid, unreadable or half written and changes
// settings, and against one that is reported at each read.
func TestBadFiles(t *testing.T) {
	k := New(0, example())
	at := func(d time.Duration) clock.Time { return clock.Time(d) }
	bad := errors.New(`field "drain": "x" is not a valid duration`)
	if r := k.Read(at(1), nil, bad); !errors.Is(r.Err, bad) || r.InForce.Drain != 4*time.Second {
		t.Errorf("first read: %+v", r)
	}
	if r := k.Read(at(2), nil, bad); r.Err != nil {
		t.Errorf("the same fault is reported again: %v", r.Err)
	}
	if k.State(at(3)).Fault == "" {
		t.Error("the state does not show the fault")
	}
	cut := edited(func(s *platform.Settings) { s.Present, s.RetryAllowance = s.Present[:2], 0 })
	r := k.Read(at(time.Second), cut, nil)
	if !errors.Is(r.Err, ErrIncomplete) || r.InForce.RetryAllowance != 64 || k.Settled() {
		t.Errorf("half written: %+v", r)
	}
	if r := k.Read(at(2*time.Second), example(), nil); r.Err != nil || len(r.Changes) != 0 || !k.Settled() || k.State(0).Fault != "" {
		t.Errorf("complete again: %+v", r)
	}
	// A field that was removed on purpose takes its default in the end.
	k.Read(at(10*time.Second), cut, nil)
	if r := k.Read(at(10*time.Second+settleTime), cut, nil); r.Err != nil || r.InForce.RetryAllowance != 0 {
		t.Errorf("removed field: %+v", r)
	}
}
