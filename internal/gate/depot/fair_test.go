package depot

import (
	"bytes"
	"testing"
)

// Guards against a client account that keeps others from sending bodies, by many bodies of
// any length or by one as long as permitted.
func TestFairness(t *testing.T) {
	const limit = 64 << 20
	content := bytes.NewReader(make([]byte, limit))
	take := func(d *Depot, a Account, n int64) bool {
		_, _ = content.Seek(0, 0)
		_, err := d.Read(content, nil, a, n, limit)
		return err == nil
	}
	for _, size := range []int64{SmallBody + 1, mediumBody, 8 << 20, 30 << 20, limit} {
		d := New()
		n := 0
		for take(d, 1, size) {
			n++
		}
		if n == 0 {
			t.Errorf("no body of %d bytes is admitted", size)
		}
		for a := range Account(4) {
			if !take(d, 2+a, mediumBody/2) {
				t.Errorf("%d bodies of %d bytes keep account %d out", n, size, 2+a)
			}
		}
	}
}
