package view

import (
	"fmt"
	"math"
	"testing"

	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"google.golang.org/protobuf/proto"
)

// row returns the row of a target.
func row(service, address string, born int64) []byte {
	return fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":"z","version":"v1","slots":2,"state":"ready","warmup-left":"0ms","seq":1,"born":%d}`, service, address, born)
}

// Guards against keys that are not assigned until the grants of an ended run expire,
// and against keys that are taken from a run that may still go on.
func TestEnded(t *testing.T) {
	const old, other = "10.0.0.1:80", "10.0.0.2:80"
	for _, c := range []struct {
		name string
		// rows holds the rows that are added after a's row was removed, by target.
		rows map[string][]byte
		want bool
	}{
		{"without a row", nil, false},
		{"restarts elsewhere", map[string][]byte{"a": row("s", other, 20)}, true},
		{"registers again", map[string][]byte{"a": row("s", old, 10)}, false},
		{"a later target has the address", map[string][]byte{"b": row("r", old, 20)}, true},
		{"an earlier target is still listed at the address", map[string][]byte{"b": row("r", old, 5)}, false},
		{"a row of an unknown service names the address", map[string][]byte{"b": row("none", old, 20)}, false},
		{"another target starts elsewhere", map[string][]byte{"b": row("r", other, 20)}, false},
	} {
		v := Empty()
		v.Desired = &platform.Desired{Services: map[string]platform.Service{"s": {}, "r": {}}}
		v = with(t, v, mirror.Change{Key: "a", Value: row("s", old, 10)})
		v = with(t, v, mirror.Change{Key: "a"})
		for id, b := range c.rows {
			v = with(t, v, mirror.Change{Key: id, Value: b})
		}
		if got := v.Ended("a", 10); got != c.want {
			t.Errorf("%s: Ended() = %v", c.name, got)
		}
		if r := v.Run("a", 10); r == nil || r.Address.String() != old {
			t.Errorf("%s: Run() = %v", c.name, r)
		}
	}
}

// with returns the view after a change of a target.
func with(t *testing.T, v *View, c mirror.Change) *View {
	t.Helper()
	n, err := v.WithTargets([]mirror.Change{c})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a list of former targets that grows without bound.
func TestFormerIsBounded(t *testing.T) {
	v := Empty()
	for i := range 2 * maxFormer {
		id := fmt.Sprint("t", i)
		v = with(t, v, mirror.Change{Key: id, Value: row("s", "10.0.0.1:80", int64(i))})
		v = with(t, v, mirror.Change{Key: id})
	}
	if len(v.Former) != maxFormer || v.Run("t0", 0) != nil || v.Run(fmt.Sprint("t", 2*maxFormer-1), 2*maxFormer-1) == nil {
		t.Errorf("%d former targets are kept", len(v.Former))
	}
}

// Guards against rows of the own table that can't be used, and that would divide keys
// wrongly or put the instances into an order on which they don't agree.
func TestOddOwnRows(t *testing.T) {
	encode := func(m proto.Message) []byte {
		b, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	good := []mirror.Change{
		{Key: PrefixInstance + "i", Value: encode(&schema.InstanceRow{InstanceId: "i", Weight: 2})},
		{Key: PrefixKeys + "s", Value: encode(&schema.KeyMap{Service: "s", Epoch: 3, Ranges: []*schema.KeyRange{{From: 0, To: 9}, {From: 10, To: platform.MaxKey}}})},
	}
	v, err := Empty().WithOwn(good)
	if err != nil || len(v.Instances) != 1 || v.Maps["s"].Epoch != 3 {
		t.Fatalf("good rows: %+v, %v", v, err)
	}
	for name, c := range map[string]mirror.Change{
		"no message":      {Key: PrefixInstance + "j", Value: []byte{0xff}},
		"weight NaN":      {Key: PrefixInstance + "j", Value: encode(&schema.InstanceRow{Weight: math.NaN()})},
		"weight infinite": {Key: PrefixInstance + "j", Value: encode(&schema.InstanceRow{Weight: math.Inf(1)})},
		"weight negative": {Key: PrefixInstance + "j", Value: encode(&schema.InstanceRow{Weight: -1})},
		"key too high":    {Key: PrefixKeys + "s", Value: encode(&schema.KeyMap{Epoch: 4, Ranges: []*schema.KeyRange{{From: 0, To: 1 << 31}}})},
		"overlap":         {Key: PrefixKeys + "s", Value: encode(&schema.KeyMap{Epoch: 4, Ranges: []*schema.KeyRange{{From: 0, To: 9}, {From: 9, To: 12}}})},
		"reversed":        {Key: PrefixKeys + "s", Value: encode(&schema.KeyMap{Epoch: 4, Ranges: []*schema.KeyRange{{From: 9, To: 2}}})},
		"epoch too high":  {Key: PrefixKeys + "s", Value: encode(&schema.KeyMap{Epoch: math.MaxUint64})},
	} {
		n, err := v.WithOwn([]mirror.Change{c})
		if err == nil || len(n.Instances) != 1 || n.Maps["s"].Epoch != 3 {
			t.Errorf("%s: instances %v, keys %v, error %v", name, n.Instances, n.Maps["s"].KeyMap, err)
		}
	}
}

// Guards against targets that are used while their failure domain is evacuated, whichever
// row arrives first, and against ones that stay out when it is taken back.
func TestEvacuated(t *testing.T) {
	evacuate := func(v *View, value []byte) *View {
		n, err := v.WithDesired(mirror.Change{Key: platform.PrefixEvacuated + "z", Value: value})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	before := with(t, Empty(), mirror.Change{Key: "a", Value: row("s", "10.0.0.1:80", 10)})
	v := with(t, evacuate(before, []byte("{}")), mirror.Change{Key: "b", Value: row("s", "10.0.0.2:80", 10)})
	for _, x := range v.Services["s"] {
		if x.Open() || !x.Evacuated || v.Targets[x.ID] != x {
			t.Errorf("target %s of an evacuated domain is %+v", x.ID, x)
		}
	}
	if !before.Services["s"][0].Open() {
		t.Error("an earlier view has changed")
	}
	for _, x := range evacuate(v, nil).Services["s"] {
		if !x.Open() {
			t.Errorf("target %s is out of service after its domain was taken back", x.ID)
		}
	}
}
