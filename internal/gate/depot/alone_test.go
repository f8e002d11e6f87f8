package depot

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards a body as long as permitted against a machine whose memory is small, by length or
// in chunks, the others against that body, and what it borrows against being kept.
func TestBodyAlone(t *testing.T) {
	const memory, longest = 144 << 20, 64 << 20
	for _, length := range []int64{longest, -1} {
		d := New()
		d.SetMemory(memory)
		var lent int64
		d.OnLent(func(n int64) { lent = n })
		b, err := d.Read(bytes.NewReader(make([]byte, longest)), nil, 1, length, longest)
		if err != nil || int64(len(b.Bytes())) != longest {
			t.Fatalf("length %d: %d bytes, %v", length, len(b.Bytes()), err)
		}
		if lent < longest-limitOf(memory) || lent > longest {
			t.Errorf("length %d: %d bytes are lent", length, lent)
		}
		if _, err := d.Read(bytes.NewReader(make([]byte, longest)), nil, 2, length, longest); !errors.Is(err, ErrFull) {
			t.Errorf("length %d: a second one: %v", length, err)
		}
		c, err := d.Read(bytes.NewReader(make([]byte, mediumBody)), nil, 3, mediumBody, longest)
		if err != nil {
			t.Errorf("length %d: a body of %d bytes beside it: %v", length, mediumBody, err)
		}
		_, _ = b.Close(), c.Close()
		if lent != 0 || d.Used() != 0 {
			t.Errorf("length %d: %d bytes are lent and %d used at the end", length, lent, d.Used())
		}
		// Not while the memory is needed.
		d.Hold(memory / 8)
		if _, err := d.Read(bytes.NewReader(make([]byte, longest)), nil, 1, length, longest); !errors.Is(err, ErrFull) {
			t.Errorf("length %d: while much is held: %v", length, err)
		}
		if lent != 0 || d.Used() != 0 {
			t.Errorf("length %d: %d bytes are lent and %d used after a refusal", length, lent, d.Used())
		}
	}
}
