package keeper

import (
	"testing"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
)

// Guards against keys that are granted to their old owner again while they move:
// two parts of one range move, and the range is divided when the fence of the
// first is raised. The rest, which does not move, must be renewed.
func TestPartsOfARangeStayPaused(t *testing.T) {
	whole := &schema.KeyRange{From: 100, To: 199, Target: "t", Born: 1, Fence: firstFence(1)}
	part := func(from, to uint32) *schema.KeyRange {
		return keys.Ranges{whole}.Without(0, from-1).Without(to+1, 65535)[0]
	}
	k := &Keeper{log: zerolog.Nop(), tenure: 1, row: &schema.KeyMap{Epoch: 1, Ranges: keys.Ranges{whole}}, confirmed: clock.Boot()}
	first, second := part(120, 139), part(160, 179)
	k.paused = []*schema.KeyRange{first, second}
	if k.owns(whole) {
		t.Error("the range is renewed while parts of it move")
	}
	n, ok := k.higher(1, first)
	if !ok {
		t.Fatal("not the keeper")
	}
	k.raise(1, n)
	for _, r := range k.row.Ranges {
		moves := r.From <= second.To && r.To >= first.From
		if k.owns(r) == moves {
			t.Errorf("keys %d to %d: renewed %v, some of them move %v", r.From, r.To, k.owns(r), moves)
		}
	}
}
