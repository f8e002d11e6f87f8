package shard

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/schema"
)

// Guards against block rows on which Decode panics, and against rows that Decode
// accepts but that change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	h := Hash("quotes", "k")
	m := newFullMap(f, 100, "a", "b")
	for n := range 2 {
		b := m.Block(n)
		if BlockOf(Base(h, 100), 100) == n {
			c, _, err := b.Split(h)
			b = must(c, err)(f)
		}
		v := must(proto.Marshal(b.Row()))(f)
		f.Add(uint32(100), n, v)
		f.Add(uint32(99), n, v)
		f.Add(uint32(100), n, v[:len(v)-1])
	}
	f.Add(uint32(0), 0, []byte{})
	f.Add(uint32(1), -1, []byte{})
	f.Fuzz(func(t *testing.T, count uint32, n int, v []byte) {
		var r schema.BlockRow
		if count > 4096 || proto.Unmarshal(v, &r) != nil {
			return
		}
		b, err := Decode(count, n, &r)
		if err != nil {
			return
		}
		c := must(Decode(count, n, b.Row()))(t)
		if !proto.Equal(b.Row(), c.Row()) {
			t.Errorf("row %v changes to %v when it is decoded again", b.Row(), c.Row())
		}
		m := withBlock(t, NewMap("quotes", count), b)
		for _, o := range b.Overrides() {
			if i, u, e := m.FindHash(o.Hash); i != o.ID || u != o.Upstream || e != o.Epoch {
				t.Errorf("FindHash = %d, %s, %d, want %+v", i, u, e, o)
			}
		}
	})
}
