package realm

import (
	"slices"
	"testing"
)

// Guards against a request that leaves one of its realms where several bind.
func TestRealmIsTheIntersection(t *testing.T) {
	for _, c := range []struct {
		limits [][]string
		holds  []string
	}{
		{nil, []string{"", "a", "b", "c"}},
		{[][]string{nil, {}}, []string{"", "a", "b", "c"}},
		{[][]string{{"a", "b"}}, []string{"a", "b"}},
		{[][]string{{"a", "b"}, nil, {"b", "c"}}, []string{"b"}},
		{[][]string{{"a"}, {"b"}}, nil},
	} {
		r := Of(c.limits...)
		for _, region := range []string{"", "a", "b", "c"} {
			if got, want := r.Holds(region), slices.Contains(c.holds, region); got != want {
				t.Errorf("realm of %v holds %q: %v, want %v", c.limits, region, got, want)
			}
			if _, ok := Admit(r, 1, region); ok != r.Holds(region) {
				t.Errorf("realm of %v admits %q: %v", c.limits, region, ok)
			}
		}
	}
}

// Guards against keys without any owner if no target lies in the realm.
func TestPreferFallsBack(t *testing.T) {
	same := func(s string) string { return s }
	if got := Prefer(Of([]string{"b"}), []string{"a", "b"}, same); !slices.Equal(got, []string{"b"}) {
		t.Error("preferred", got)
	}
	if got := Prefer(Of([]string{"c"}), []string{"a", "b"}, same); len(got) != 2 {
		t.Error("preferred", got)
	}
}
