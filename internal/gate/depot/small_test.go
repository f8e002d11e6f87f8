package depot

import (
	"bytes"
	"testing"

	"dandelionrock.example/dandelionrock/internal/plan/shed"
	"github.com/cockroachdb/errors"
)

// Guards small bodies against being counted nowhere: they are refused when too much is held,
// and given back when they are closed.
func TestSmallBodiesAreHeld(t *testing.T) {
	const memory = 16 << 20
	d := New()
	d.SetMemory(memory)
	var open []*Body
	var err error
	for i := range 2 * memory / SmallBody {
		tab, ok := d.Open(0, shed.Origin(i), func(shed.Victim) {})
		if !ok {
			t.Fatalf("connection %d finds no place", i)
		}
		defer tab.Close()
		length := int64(SmallBody - 1)
		content := bytes.NewReader(make([]byte, length))
		if i%2 == 0 {
			length = -1
		}
		var b *Body
		if b, err = d.Read(content, tab, 0, length, memory); err != nil {
			break
		}
		open = append(open, b)
	}
	if !errors.Is(err, ErrFull) || len(open) < 16 || d.Held() < int64(len(open)*(SmallBody-1)) || d.Held() > memory/4 {
		t.Errorf("%d bodies hold %d bytes, then %v", len(open), d.Held(), err)
	}
	for _, b := range open {
		_ = b.Close()
	}
	if d.Held() != 0 {
		t.Errorf("%d bytes are held at the end", d.Held())
	}
}
