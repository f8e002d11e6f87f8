package delta

import (
	"fmt"
	"testing"

	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"
)

func encode(t *testing.T, epoch uint64, r keys.Ranges) []byte {
	t.Helper()
	b, err := proto.Marshal(&schema.KeyMap{Service: "s", Epoch: epoch, Keeper: fmt.Sprint("i", epoch), Ranges: r})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a copy of the key owners that differs from the row in the store:
// requests would go to wrong owners, and the next keeper would grant wrong keys.
func TestApplyOfDiff(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 300
	q := gopter.NewProperties(p)
	q.Property("applying a change gives the new row", prop.ForAllNoShrink(func(n int, moves []uint32) string {
		var m []keys.Member
		for i := range n {
			m = append(m, keys.Member{ID: fmt.Sprint("t", i), Born: 1, Weight: 1})
		}
		from := keys.Initial(m, 1)
		to := from
		for i, v := range moves {
			a := v % 65000
			moved := &schema.KeyRange{From: a, To: a + v%500, Target: m[i%n].ID, Born: 1, Fence: uint64(i + 2)}
			if v%2 == 0 {
				// A whole range gets another owner.
				moved.From, moved.To = to[int(a)%len(to)].From, to[int(a)%len(to)].To
			}
			to = to.Replace(moved)
		}
		if moves[0]%5 == 0 {
			to = to.Refence(9)
		}
		old, want := encode(t, 1, from), encode(t, 2, to)
		d, ok := Keys{}.Diff(old, want)
		if !ok {
			return ""
		}
		got, err := Keys{}.Apply(old, d)
		var a, b schema.KeyMap
		if err != nil || proto.Unmarshal(got, &a) != nil || proto.Unmarshal(want, &b) != nil || !proto.Equal(&a, &b) {
			return fmt.Sprintf("Apply() returns another row, %v", err)
		}
		return ""
	}, gen.IntRange(2, 200), gen.SliceOfN(6, gen.UInt32())))
	q.TestingRun(t)
}

// Guards against changes that are about as large as the row, and against rows that
// can't be decoded.
func TestDiffIsSmall(t *testing.T) {
	var m []keys.Member
	for i := range 400 {
		m = append(m, keys.Member{ID: fmt.Sprint("target-", i), Born: 1, Weight: 1})
	}
	r := keys.Initial(m, 1)
	old, to := encode(t, 1, r), encode(t, 2, r.Replace(&schema.KeyRange{From: 10, To: 20, Target: "target-9", Born: 1, Fence: 2}))
	if d, ok := (Keys{}).Diff(old, to); !ok || len(d) > 200 {
		t.Errorf("Diff() has %d bytes of a row of %d", len(d), len(to))
	}
	if _, ok := (Keys{}).Diff([]byte("not a row"), to); ok {
		t.Error("Diff() accepts a malformed row")
	}
}
