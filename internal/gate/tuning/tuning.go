// Package tuning tracks the settings that an instance runs with: which of a changed
// file come into force, and which wait for a restart. It does no input or output.
package tuning

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// settleTime is the time for which a file that lacks fields must stay the same until
// it is applied: it may be half written.
const settleTime = 3 * time.Second

// ErrIncomplete reports that a file lacks fields that the settings in force have.
var ErrIncomplete = errors.New("settings are incomplete")

// field is one setting as text.
type field struct {
	name, value string
	// shared fields have the same value at all instances of a deployment.
	shared bool
	// restart fields come into force when the instance starts again.
	restart bool
}

// fields returns the settings in a fixed order.
func fields(s *platform.Settings) []field {
	var regions []string
	for _, d := range slices.Sorted(maps.Keys(s.Regions)) {
		regions = append(regions, d+"="+s.Regions[d])
	}
	number := func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
	return []field{
		{name: "instance", value: s.Instance, restart: true},
		{name: "region", value: s.Region, restart: true},
		{name: "failure-domain", value: s.FailureDomain, restart: true},
		{name: "client-address", value: s.Client.String(), restart: true},
		{name: "ready-address", value: s.Ready.String(), restart: true},
		{name: "peer-address", value: s.Peer.String(), restart: true},
		{name: "memory-bytes", value: strconv.FormatInt(s.Memory, 10)},
		{name: "descriptors", value: strconv.Itoa(s.Descriptors)},
		{name: "processor-cores", value: number(s.Processor)},
		{name: "link-mbps", value: number(s.Link)},
		{name: "store-address", value: s.Store.String(), shared: true, restart: true},
		// The successor of a keeper waits for the grants of its predecessor by its
		// own longest hold time.
		{name: "max-hold", value: s.MaxHold.String(), shared: true, restart: true},
		{name: "regions", value: strings.Join(regions, ","), shared: true},
		{name: "grace", value: s.Grace.String(), shared: true},
		{name: "drain", value: s.Drain.String(), shared: true},
		{name: "config-apply", value: s.ConfigApply.String(), shared: true},
		{name: "retry-ratio", value: number(s.RetryRatio), shared: true},
		{name: "retry-window", value: s.RetryWindow.String(), shared: true},
		{name: "retry-allowance", value: strconv.Itoa(s.RetryAllowance), shared: true},
	}
}

// Digest returns a short hash of the settings that all instances of a deployment
// share. Two instances with the same digest run with the same ones.
func Digest(s *platform.Settings) string {
	var b strings.Builder
	for _, f := range fields(s) {
		if f.shared {
			fmt.Fprintf(&b, "%s=%s\n", f.name, f.value)
		}
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(b.String()))[:12]
}

// Change is a field that differs between two versions of the settings.
type Change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
	// Restart is set if the new value comes into force at the next start.
	Restart bool `json:"restart"`
}

func diff(old, s *platform.Settings) []Change {
	var c []Change
	n := fields(s)
	for i, f := range fields(old) {
		if f.value != n[i].value {
			c = append(c, Change{f.name, f.value, n[i].value, f.restart})
		}
	}
	return c
}

// withoutRestart returns s with the values of old in all fields that need a restart.
func withoutRestart(old, s *platform.Settings) *platform.Settings {
	n := *s
	n.Instance, n.Region, n.FailureDomain = old.Instance, old.Region, old.FailureDomain
	n.Client, n.Ready, n.Peer, n.PeerListen, n.Store = old.Client, old.Ready, old.Peer, old.PeerListen, old.Store
	n.MaxHold = old.MaxHold
	return &n
}

// Tracker holds the settings in force. Use New. It is not safe for concurrent use.
type Tracker struct {
	// inForce are the settings that the instance runs with.
	inForce *platform.Settings
	// read is when the file was last read and found valid.
	read clock.Time
	// waiting holds the fields of the file that wait for a restart.
	waiting []string
	// fault is the reason for which the file is not in force; "" if it is.
	fault string
	// incomplete is the last file that lacked fields, and since when it is the same.
	incomplete *platform.Settings
	since      clock.Time
}

// New returns a Tracker of an instance that starts with s.
func New(now clock.Time, s *platform.Settings) *Tracker { return &Tracker{inForce: s, read: now} }

// State is what an instance tells of its settings.
type State struct {
	Digest string
	// Age is the time since the file was last read and found valid.
	Age time.Duration
	// Waiting holds the names of changed fields that need a restart.
	Waiting []string
	// Fault is the reason for which the present file is not in force, or "".
	Fault string
}

// State returns the state of the settings.
func (t *Tracker) State(now clock.Time) State {
	return State{Digest(t.inForce), now.Sub(t.read), t.waiting, t.fault}
}

// Settled reports whether the file needs no further read until it changes.
func (t *Tracker) Settled() bool { return t.incomplete == nil }

// Result is the effect of reading the file.
type Result struct {
	// InForce are the settings to run with from now on.
	InForce *platform.Settings
	// Changes are those to the settings in force, and to values that need a restart.
	Changes []Change
	// Err is the reason for which the file does not come into force. It is set once
	// for the same reason.
	Err error
}

// Read takes the file as it was read, or the error with which that failed.
func (t *Tracker) Read(now clock.Time, s *platform.Settings, err error) Result {
	if err == nil {
		err = t.checkComplete(now, s)
	}
	if err != nil {
		return t.reject(err)
	}
	n := withoutRestart(t.inForce, s)
	r := Result{InForce: n, Changes: diff(t.inForce, s)}
	t.inForce, t.read, t.fault, t.waiting, t.incomplete = n, now, "", nil, nil
	for _, c := range r.Changes {
		if c.Restart {
			t.waiting = append(t.waiting, c.Field)
		}
	}
	return r
}

// reject keeps the settings in force.
func (t *Tracker) reject(err error) Result {
	r := Result{InForce: t.inForce}
	if err.Error() != t.fault {
		r.Err, t.fault = err, err.Error()
	}
	return r
}

// checkComplete returns an error for a file that lacks fields of the one in force,
// until it has stayed the same for settleTime.
func (t *Tracker) checkComplete(now clock.Time, s *platform.Settings) error {
	missing := slices.DeleteFunc(slices.Clone(t.inForce.Present), func(f string) bool { return slices.Contains(s.Present, f) })
	if len(missing) == 0 {
		return nil
	}
	same := t.incomplete != nil && len(diff(t.incomplete, s)) == 0 && slices.Equal(t.incomplete.Present, s.Present)
	if !same {
		t.incomplete, t.since = s, now
	}
	if now.Sub(t.since) >= settleTime {
		return nil
	}
	return errors.Mark(errors.Newf("field %q is missing; the file may be half written", missing[0]), ErrIncomplete)
}
