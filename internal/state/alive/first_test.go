package alive

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
)

// Guards against two ways to find the first instance that disagree, also after instances
// are suspected or join.
func TestIsFirst(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	v := view.Empty()
	s := New("i03")
	for step := range 300 {
		if len(v.Instances) < 12 {
			n := *v
			i := peer.Instance{ID: fmt.Sprintf("i%02d", len(v.Instances)), Region: fmt.Sprint("r", r.IntN(2))}
			i.FailureDomain, i.Weight = fmt.Sprint(i.Region, r.IntN(2)), 1+r.Float64()
			n.Instances, n.Generation = append(v.Instances[:len(v.Instances):len(v.Instances)], i), v.Generation+1
			v = &n
		}
		i := v.Instances[r.IntN(len(v.Instances))]
		if r.IntN(2) == 0 {
			s.Suspect(i)
		} else {
			s.Clear(i.ID)
		}
		for n := range 10 {
			region := fmt.Sprint("r", n%3)
			at := peer.Place{Region: region, FailureDomain: fmt.Sprint(region, n/3%2)}
			is := s.Nearest(v, fmt.Sprint(n), at)
			want := len(is) > 0 && is[0].ID == "i03"
			if got := s.IsFirst(v, fmt.Sprint(n), at); got != want {
				t.Fatalf("step %d, name %d: IsFirst() = %v, want %v", step, n, got, want)
			}
		}
	}
}
