package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"

	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
	"dandelionrock.example/dandelionrock/schema"
	"google.golang.org/protobuf/proto"
)

// testRegions are the regions of the failure domains; that of d is not known.
var testRegions = map[string]string{"a": "ra", "b": "rb", "c": "rc"}

// randomView returns a view in which some targets leave and some failure domains are
// evacuated, with instances in some of the domains.
func randomView(t *testing.T, r *rand.Rand) *view.View {
	t.Helper()
	v := view.Empty()
	desired := []mirror.Change{{Key: platform.KeyDesired, Value: fake.Configuration(1, "")}}
	var targets, own []mirror.Change
	for _, d := range []string{"a", "b", "c", "d"} {
		if r.IntN(4) == 0 {
			desired = append(desired, mirror.Change{Key: platform.PrefixEvacuated + d, Value: []byte("{}")})
		}
		for i := range r.IntN(3) {
			state := []string{"ready", "ready", "draining"}[r.IntN(3)]
			targets = append(targets, mirror.Change{Key: fmt.Sprint(d, i), Value: fmt.Appendf(nil,
				`{"service":"terms","addr":"10.0.0.1:80","zone":%q,"version":"v1","slots":2,"state":%q,"warmup-left":"0ms","seq":1,"born":1}`, d, state)})
		}
		for i := range r.IntN(3) {
			b, err := proto.Marshal(&schema.InstanceRow{InstanceId: fmt.Sprint("i", d, i), RpcAddress: "10.0.0.1:81", Region: testRegions[d], FailureDomain: d, Weight: 1})
			if err != nil {
				t.Fatal(err)
			}
			own = append(own, mirror.Change{Key: view.PrefixInstance + fmt.Sprint("i", d, i), Value: b})
		}
	}
	var err error
	for _, c := range desired {
		if v, err = v.WithDesired(c); err != nil {
			t.Fatal(err)
		}
	}
	if v, err = v.WithTargets(targets); err != nil {
		t.Fatal(err)
	}
	if v, err = v.WithOwn(own); err != nil {
		t.Fatal(err)
	}
	return v
}

// Requests bound to home regions, with few targets and instances in reach. Guards against
// a target, or an instance for the body, outside of the regions; against targets in
// evacuated domains; and against a refusal although a target is left.
func TestChoiceKeepsToRegionsAndEvacuations(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		e := newEntry(t, true)
		e.SetRegions(testRegions)
		v := randomView(t, r)
		e.Views = fixedView{v}
		homes := [][]string{nil, {"ra"}, {"rb", "rc"}, {"elsewhere"}}[r.IntN(4)]
		q := &request{entry: e, service: v.Desired.Services["terms"], realm: realm.Of(homes), route: &v.Desired.Routes[0]}
		permitted := func(region string) bool { return len(homes) == 0 || slices.Contains(homes, region) }
		left := slices.ContainsFunc(v.Services["terms"], func(x *platform.Target) bool {
			return !x.Leaving && !v.Evacuated[x.FailureDomain] && permitted(testRegions[x.FailureDomain])
		})
		d, ok := q.chooseGroup(t.Context())
		if ok != left {
			t.Fatalf("homes %v: found %v, although a target is left: %v (%s)", homes, ok, left, q.reason)
		}
		if !ok {
			if q.status != http.StatusServiceUnavailable || !slices.Contains([]string{pool.ReasonNoTarget, reasonOutside, reasonEvacuated}, q.reason) {
				t.Fatalf("refused with %d, %q", q.status, q.reason)
			}
			continue
		}
		domain := d.Value().id.FailureDomain
		if !permitted(testRegions[domain]) || v.Evacuated[domain] {
			t.Fatalf("homes %v, evacuated %v: sent to %s", homes, v.Evacuated, domain)
		}
		if h := e.home(q.realm, d).Value(); h.ID != e.Self.ID && !permitted(h.Region) {
			t.Fatalf("homes %v: the body goes to %+v", homes, h)
		}
	}
}

// Guards against a key whose owner lies outside of the regions of the request.
func TestOwnerOutsideOfRegions(t *testing.T) {
	e := newEntry(t, true)
	e.SetRegions(testRegions)
	v, err := e.Views.View().WithTargets([]mirror.Change{{Key: "q", Value: []byte(
		`{"service":"quotes","addr":"10.0.0.1:80","zone":"b","version":"v1","slots":2,"state":"ready","warmup-left":"0ms","seq":1,"born":1}`)}})
	if err != nil {
		t.Fatal(err)
	}
	e.Views = fixedView{v}
	e.Owners.Adopt("quotes", 1, []*schema.KeyRange{{From: 0, To: platform.MaxKey, Target: "q", Born: 1, Fence: 1}})
	for homes, want := range map[string]bool{"ra": false, "rb": true} {
		q := &request{entry: e, service: v.Desired.Services["quotes"], realm: realm.Of([]string{homes}), route: &v.Desired.Routes[0], key: 7}
		if _, ok := q.chooseGroup(t.Context()); ok != want || !want && q.reason != reasonOutside {
			t.Errorf("homes %s: chosen %v, reason %q", homes, ok, q.reason)
		}
	}
	// An instance in no region holds bodies only as the one that the client has reached.
	if _, ok := realm.Admit(realm.Of([]string{"ra"}), peer.Instance{}, ""); ok {
		t.Error("an instance in an unknown region is permitted")
	}
}

// A long body that another region has refused. Guards against sending it to a region again,
// and against a refusal while the own region may run it.
func TestBodyCrossesOnce(t *testing.T) {
	e := newEntry(t, true)
	e.SetRegions(testRegions)
	e.Self.Region = "ra"
	for domain, want := range map[string]bool{"a": true, "b": false} {
		q := &request{entry: e, crossed: true, message: schema.SendRequest{Body: make([]byte, maxRecrossing+1)}}
		to, _ := q.permit(group.ID{}, domain)
		if got := q.mayCross(to); got != want {
			t.Errorf("to %s: %v", domain, got)
		}
		q.message.Body = q.message.Body[1:]
		if !q.mayCross(to) {
			t.Errorf("a short body may not go to %s", domain)
		}
	}
}
