package shard

import (
	"errors"
	"fmt"
	"testing"

	"dandelionrock.example/dandelionrock/schema"
)

// newFullMap returns a map with all blocks known, whose base shards have the
// owners in turn.
func newFullMap(t testing.TB, count uint32, owners ...string) *Map {
	t.Helper()
	m := NewMap("quotes", count)
	for n := range Blocks(count) {
		o := make([]string, min(BlockSize, int(count)-n*BlockSize))
		for i := range o {
			o[i] = owners[(n*BlockSize+i)%len(owners)]
		}
		m = withBlock(t, m, must(NewBlock(count, n, o))(t))
	}
	return m
}

func withBlock(t testing.TB, m *Map, b *Block) *Map {
	t.Helper()
	return must(m.With(b))(t)
}

func must[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// Guards against a hash that changes between releases, which would move every
// key, and against equal hashes for a key of two services.
func TestHash(t *testing.T) {
	if got := Hash("quotes", "marsh wallaby"); got != 0x0ebbfa2789fa8ac4 {
		t.Errorf("Hash = %#x", uint64(got))
	}
	if Hash("a", "bc") == Hash("ab", "c") {
		t.Error("Hash is equal for two pairs of service and key")
	}
}

// Guards against epochs that decrease for a key when its shard is split, moved
// or merged, against a merge of shards with different owners, and against
// changes to the original block.
func TestSplitMoveMerge(t *testing.T) {
	m := newFullMap(t, 100, "a", "b", "c")
	h := m.Hash("hot")
	base, owner, epoch := m.FindHash(h)
	n := BlockOf(base, 100)
	b, id, err := m.Block(n).Split(h)
	if err != nil || uint32(id) < 100 || BlockOf(id, 100) != n {
		t.Fatalf("Split = %d, %v", id, err)
	}
	if _, _, err := b.Split(h); !errors.Is(err, ErrAlreadySplit) {
		t.Errorf("second Split: %v, want ErrAlreadySplit", err)
	}
	if e, _ := b.Entry(base); e.Epoch != epoch+1 {
		t.Errorf("epoch of the base shard = %d, want %d", e.Epoch, epoch+1)
	}
	b = must(b.Move(id, "z"))(t)
	i, o, e := withBlock(t, m, b).FindHash(h)
	if i != id || o != "z" || e <= epoch {
		t.Errorf("FindHash after Move = %d, %s, %d", i, o, e)
	}
	if _, err := b.Merge(h); !errors.Is(err, ErrDifferentOwners) {
		t.Errorf("Merge: %v, want ErrDifferentOwners", err)
	}
	c := must(must(b.Move(id, owner))(t).Merge(h))(t)
	if i, o, f := withBlock(t, m, c).FindHash(h); i != base || o != owner || f <= e {
		t.Errorf("FindHash after Merge = %d, %s, %d, epoch before %d", i, o, f, e)
	}
	if i, o, e := m.FindHash(h); i != base || o != owner || e != epoch {
		t.Errorf("the original map changed: FindHash = %d, %s, %d", i, o, e)
	}
}

// Guards against a row, written by a later version of the program or by a fault,
// that gives a shard two owners or none.
func TestDecodeRefuses(t *testing.T) {
	h := uint64(Hash("quotes", "k"))
	n := BlockOf(Base(KeyHash(h), 100), 100)
	for name, f := range map[string]func(*schema.BlockRow){
		"shard missing":  func(r *schema.BlockRow) { r.Shards = r.Shards[1:] },
		"no owner":       func(r *schema.BlockRow) { r.Shards[3].Upstream = "" },
		"no epoch":       func(r *schema.BlockRow) { r.Shards[3].Epoch = 0 },
		"override twice": func(r *schema.BlockRow) { r.Overrides = append(r.Overrides, r.Overrides[0]) },
		"other block":    func(r *schema.BlockRow) { r.Overrides[0].Shard++ },
		"base shard id":  func(r *schema.BlockRow) { r.Overrides[0].Shard = 1 },
		"other hash":     func(r *schema.BlockRow) { r.Overrides[0].KeyHash = uint64((1-n)*BlockSize) + 100 },
	} {
		b, _, err := newFullMap(t, 100, "a").Block(n).Split(KeyHash(h))
		r := must(b, err)(t).Row()
		if _, err := Decode(100, n, r); err != nil {
			t.Fatal(err)
		}
		f(r)
		if _, err := Decode(100, n, r); !errors.Is(err, ErrBlock) {
			t.Errorf("%s: %v, want ErrBlock", name, err)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	for _, hot := range []int{0, 64} {
		b.Run(fmt.Sprintf("hot=%d", hot), func(b *testing.B) {
			m, keys := newFullMap(b, 256, "a", "b", "c"), make([]string, 1024)
			for i := range keys {
				keys[i] = fmt.Sprintf("glossary/%08d", i)
				if i < hot {
					h := m.Hash(keys[i])
					c, _, err := m.Block(BlockOf(Base(h, 256), 256)).Split(h)
					m = withBlock(b, m, must(c, err)(b))
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Find(keys[i%len(keys)])
			}
		})
	}
}
