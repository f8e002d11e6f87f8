package depot

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// panicking is a reader that panics.
type panicking struct{}

func (panicking) Read([]byte) (int, error) { panic("read") }

// Guards against memory of a body that is given back twice or never, however its reading
// ends, and against bodies beyond the limit or that are not whole.
func TestDepotIsExact(t *testing.T) {
	const memory, limit = 16 << 20, 3 << 20
	content := bytes.Repeat([]byte("0123456789abcdef"), limit/8)
	p := gopter.DefaultTestParameters()
	p.Rng.Seed(1)
	q := gopter.NewProperties(p)
	q.Property("what was taken is given back once", prop.ForAllNoShrink(func(steps []uint32) bool {
		d := New()
		d.SetMemory(memory)
		var open []*Body
		for _, s := range steps {
			size := int64(s>>8) % (limit + limit/8)
			if s&1 == 0 {
				size %= 2 * SmallBody
			}
			var r io.Reader = bytes.NewReader(content[:size])
			length := size
			if s&2 == 0 {
				length = -1
			}
			switch s >> 2 & 7 {
			case 0:
				r = io.MultiReader(io.LimitReader(r, size/2), iotest.ErrReader(io.ErrClosedPipe))
			case 1:
				r = io.MultiReader(io.LimitReader(r, size/2), panicking{})
			case 2:
				r = iotest.HalfReader(r)
			}
			b, err := read(d, r, Account(s>>6&1), length, limit)
			switch {
			case err == nil && !bytes.Equal(b.Bytes(), content[:size]):
				return false
			case err == nil:
				open = append(open, b)
			case errors.Is(err, ErrTooLong) && size <= limit:
				return false
			}
			var held int64
			for _, b := range open {
				if len(b.Bytes()) > SmallBody {
					held += int64(len(b.Bytes()))
				}
			}
			if u := d.Used(); u < held || u > limitOf(memory) {
				return false
			}
			if s>>5&3 == 0 && len(open) > 0 {
				if open[0].Close() != nil || open[0].Close() != nil {
					return false
				}
				open = open[1:]
			}
		}
		for _, b := range open {
			if b.Close() != nil {
				return false
			}
		}
		return d.Used() == 0 && len(d.accounts) == 0
	}, gen.SliceOfN(40, gen.UInt32())))
	q.TestingRun(t)
}

// read is like Depot.Read, but returns an error if the reader panics.
func read(d *Depot, r io.Reader, a Account, length, limit int64) (b *Body, err error) {
	defer func() {
		if recover() != nil {
			b, err = nil, io.ErrNoProgress
		}
	}()
	return d.Read(r, nil, a, length, limit)
}
