package main

import (
	"bytes"
	"math"
	"slices"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/event"
)

// TestPrint guards against a target that is compared in the wrong direction, and
// against a figure without a value whose target counts as met.
func TestPrint(t *testing.T) {
	var b bytes.Buffer
	p := &printer{out: &b, seed: 7, only: []string{"throughput-ratio", "imbalance-zipf", "p50-ms", "orders-lost"}}
	p.print("throughput-ratio", 0.8, "ratio", "")
	p.print("imbalance-zipf", 1.3, "ratio", "")
	p.print("p50-ms", 2, "ms", "")
	p.print("orders-lost", math.NaN(), "orders", "")
	p.print("p99-ms", 2, "ms", "not asked for")
	want := `{"name":"throughput-ratio","value":0.8,"unit":"ratio","seed":7,"target":0.75,"met":true}
{"name":"imbalance-zipf","value":1.3,"unit":"ratio","seed":7,"target":1.25,"met":false}
{"name":"p50-ms","value":2,"unit":"ms","seed":7}
{"met":false,"name":"orders-lost","note":"json: unsupported value: NaN","seed":7,"unit":"orders"}
`
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

// TestTargets guards against a target of a figure that no experiment measures.
func TestTargets(t *testing.T) {
	var l []string
	for _, e := range experiments {
		l = append(l, e.figures...)
	}
	for n := range targets {
		if !slices.Contains(l, n) {
			t.Errorf("%s is the figure of no experiment", n)
		}
	}
}

// TestConvergenceTimes guards against ignoring an instance that never receives a
// configuration, and against a version that counts as missing although the
// instance has a higher one.
func TestConvergenceTimes(t *testing.T) {
	var l []event.Event
	add := func(ms int64, instance, kind string, version uint64) {
		c := event.NewClock(func() time.Time { return time.UnixMilli(1000 + ms) })
		l = append(l, event.Event{
			Clock: c.Now(), InstanceID: instance, Kind: kind, Subject: "config/guild",
			Fields: []event.Field{event.Uint("version", version)},
		})
	}
	add(0, "a", "config-accepted", 1)
	add(1, "a", "config-in-force", 1)
	add(20, "b", "config-in-force", 1)
	add(30, "a", "config-accepted", 2)
	add(31, "a", "config-in-force", 2)
	add(70, "c", "config-in-force", 2)
	d, missing := convergenceTimes(l, 3)
	slices.Sort(d)
	want := []time.Duration{time.Millisecond, time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 70 * time.Millisecond}
	if !slices.Equal(d, want) || missing != 1 {
		t.Errorf("%v with %d missing, want %v with 1 (version 2 at b)", d, missing, want)
	}
}
