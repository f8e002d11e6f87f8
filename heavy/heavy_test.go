package heavy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"dandelionrock.example/dandelionrock/heavy"
)

// Guards against a heavy key that is missing, and against a true weight outside the
// bounds of the estimate, also after Decay.
func TestSketchBounds(t *testing.T) {
	for seed := range int64(20) {
		r := rand.New(rand.NewSource(seed))
		z := rand.NewZipf(r, 1.1, 1, 10000)
		s, exact, total := heavy.New[uint64](64), map[uint64]float64{}, 0.0
		for i := range 20000 {
			k := z.Uint64()
			s.Add(k, 1)
			exact[k]++
			total++
			if i == 10000 {
				s.Decay(0.5)
				total /= 2
				for k := range exact {
					exact[k] /= 2
				}
			}
		}
		reported := map[uint64]bool{}
		for _, i := range s.Top(64) {
			reported[i.Key] = true
			if w := exact[i.Key]; w > i.Weight+1e-6 || w < i.Weight-i.Excess-1e-6 {
				t.Errorf("seed %d: key %d has weight %f, estimate %f, excess %f", seed, i.Key, w, i.Weight, i.Excess)
			}
		}
		for k, w := range exact {
			if w > total/64 && !reported[k] {
				t.Errorf("seed %d: key %d with weight %f of %f is missing", seed, k, w, total)
			}
		}
	}
}

func BenchmarkAdd(b *testing.B) {
	s, z := heavy.New[uint64](256), rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 1, 1e6)
	for b.Loop() {
		s.Add(z.Uint64(), 1)
	}
}

func Example() {
	s := heavy.New[string](2)
	for _, k := range []string{"a", "b", "a", "c", "a", "b", "a"} {
		s.Add(k, 1)
	}
	for _, i := range s.Top(2) {
		fmt.Println(i.Key, i.Weight, i.Excess)
	}
	// Output:
	// a 4 0
	// b 3 2
}
