package keys

import (
	"testing"

	"dandelionrock.example/dandelionrock/schema"
)

// Guards against wrong owners when announcements are lost or arrive out of order.
func TestOwners(t *testing.T) {
	var o Owners
	m := members(2, 1)
	o.Adopt("s", 4, Initial(m, 1))
	half := &schema.KeyRange{From: 0, To: 99, Target: "t01", Born: 1, Fence: 5}
	o.Update(second, &schema.KeysRequest{Service: "s", Epoch: 4, Ranges: []*schema.KeyRange{half}, Moving: true})
	if r, _ := o.Find(second, "s", 50); r != nil {
		t.Errorf("Find() = %v while the key moves", r)
	}
	if r, _ := o.Find(second, "s", 100); r == nil || r.Target != "t00" {
		t.Errorf("Find() = %v for a key that doesn't move", r)
	}
	o.Update(second, &schema.KeysRequest{Service: "s", Epoch: 6, Ranges: []*schema.KeyRange{half}})
	if r, _ := o.Find(second, "s", 50); r != nil {
		t.Errorf("Find() = %v after an announcement that skips an epoch", r)
	}
	o.Update(second, &schema.KeysRequest{Service: "s", Epoch: 5, Ranges: []*schema.KeyRange{half}})
	if r, _ := o.Find(second, "s", 50); r == nil || r.Target != "t01" {
		t.Errorf("Find() = %v after the move", r)
	}
	o.Adopt("s", 4, Initial(m, 1))
	if r, _ := o.Find(second, "s", 50); r == nil || r.Target != "t01" {
		t.Errorf("Find() = %v after an older assignment", r)
	}
}

// Guards against requests that go to the former owner of keys that are still being moved,
// because others have moved meanwhile, and against changes that are lost because their
// announcements arrive in another order.
func TestOwnersOfOverlappingChanges(t *testing.T) {
	var o Owners
	m := members(2, 1)
	all := Initial(m, 1)
	o.Adopt("s", 4, all)
	old := all.Find(0)
	first, second := subrange(old, 0, 99), subrange(old, 100, 199)
	announce := func(epoch uint64, moving bool, r *schema.KeyRange) {
		o.Update(1, &schema.KeysRequest{Service: "s", Epoch: epoch, Moving: moving, Ranges: []*schema.KeyRange{r}})
	}
	owner := func(key uint32) string {
		r, _ := o.Find(1, "s", key)
		return r.GetTarget()
	}
	announce(4, true, first)
	announce(4, true, second)
	moved := func(r *schema.KeyRange) *schema.KeyRange {
		return &schema.KeyRange{From: r.From, To: r.To, Target: "t01", Born: 1, Fence: 9}
	}
	announce(6, false, moved(subrange(old, 300, 399)))
	if a := owner(300); a != "t00" {
		t.Errorf("owner = %q by an announcement that is ahead of an earlier one", a)
	}
	announce(5, false, moved(first))
	if a, b, c := owner(50), owner(150), owner(300); a != "t01" || b != "" || c != "t01" {
		t.Errorf("owners = %q of moved keys, %q of keys that are being moved, %q of keys announced early", a, b, c)
	}
	announce(0, false, second)
	if a := owner(150); a != "t00" {
		t.Errorf("owner = %q of keys whose move was cancelled", a)
	}
}
