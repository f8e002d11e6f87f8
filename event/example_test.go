package event_test

import (
	"os"
	"time"

	"dandelionrock.example/dandelionrock/event"
)

func ExampleMerge() {
	w := time.UnixMilli(1767322800000)
	c := event.NewClock(func() time.Time { return w })
	// The wall clock of the second process is one second behind.
	d := event.NewClock(func() time.Time { return w.Add(-time.Second) })
	a, b := event.New("hobart-a-1", 100, c), event.New("burnie-a-1", 100, d)

	d.Observe(a.Record("row-committed", "config/guild", event.Uint("version", uint64(8))))
	b.Record("row-applied", "config/guild", event.Uint("version", uint64(8)))

	x, _ := a.Events()
	y, _ := b.Events()
	if err := event.WriteText(os.Stdout, event.Merge(y, x)); err != nil {
		panic(err)
	}
	// Output:
	// 2026-01-02T03:00:00.000Z 0000 hobart-a-1 row-committed config/guild version=8
	// 2026-01-02T03:00:00.000Z 0001 burnie-a-1 row-applied config/guild version=8
}
