package keeper

import (
	"testing"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
)

// Guards against a move in which the old owner gets its keys granted again: two
// parts of one range move, and raising the fence of the first part splits the
// range. The rest of the range, which does not move, must be renewed.
func TestPartsOfARangeStayPaused(t *testing.T) {
	whole := &schema.KeyRange{From: 100, To: 199, Target: "t", Born: 1, Fence: firstFence(1)}
	part := func(from, to uint32) *schema.KeyRange {
		return keys.Ranges{whole}.Without(0, from-1).Without(to+1, 65535)[0]
	}
	k := &Keeper{log: zerolog.Nop(), takeovers: 1, row: &schema.KeyMap{Epoch: 1, Ranges: keys.Ranges{whole}}, confirmed: clock.Boot()}
	first, second := part(120, 139), part(160, 179)
	k.paused = []keys.Move{{Range: first}, {Range: second}}
	if k.mayRenew(whole) {
		t.Error("the range is renewed while parts of it move")
	}
	n, ok := k.withHigherFence(1, first)
	if !ok {
		t.Fatal("not the keeper")
	}
	k.recordFence(1, n)
	for _, r := range k.row.Ranges {
		moves := r.From <= second.To && r.To >= first.From
		if k.mayRenew(r) == moves {
			t.Errorf("keys %d to %d: renewed %v, some of them move %v", r.From, r.To, k.mayRenew(r), moves)
		}
	}
}
