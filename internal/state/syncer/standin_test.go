package syncer

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/state/mirror"
)

// Simulates an outage of the store in regions of several sizes. Guards against too
// many instances that stand in for the readers at the same time, and against
// instances that never try although only they may reach the store.
func TestStandsIn(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, count := range []int{1, 2, 10, 21, 350} {
		first := make([]time.Duration, count)
		for age := time.Duration(0); age < 5*time.Minute; age += step {
			tries := 0
			for rank := range count {
				if !shouldStandIn(age, staleAfter, rank, count) {
					continue
				}
				tries++
				if first[rank] == 0 {
					first[rank] = age
				}
			}
			if limit := int(standInTry / standInDelay); tries > limit {
				t.Fatalf("%d of %d instances try at the age %v, more than %d", tries, count, age, limit)
			}
		}
		for rank, age := range first {
			if want := staleAfter + time.Duration(rank)*standInDelay + step; age != want {
				t.Errorf("instance %d of %d tries first at the age %v, want %v", rank, count, age, want)
			}
		}
	}
	if !shouldStandIn(mirror.NeverRead, staleAfter, 5, 9) {
		t.Error("an instance that has read nothing does not try")
	}
}
