package lease_test

import (
	"fmt"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/lease"
)

func ExampleHome() {
	now := clock.Time(time.Second)
	h := lease.New(lease.Config{
		Term: 1, Hold: 10 * time.Second, TTL: 500 * time.Millisecond, MaxRequest: time.Second,
		Fencing: config.FencingChecked, CommittedAt: now, ConfirmedAt: now,
	})
	h.Add(7, 1)
	g := fence.New("boot-1")
	exchange := func() {
		now = now.Add(time.Millisecond)
		if m, ok := h.Grant(now); ok {
			fmt.Println("shards granted:", len(m.GetShards()), h.Answer(now, now, g.Handle(now, m)))
		}
	}
	exchange() // The reply to the greeting has the clock reading and the boot id.
	now = now.Add(time.Millisecond)
	h.Confirm(now) // A read of the home row found this home and term.
	exchange()
	t, err := h.CanDispatch(now, 7)
	fmt.Println(t, err, g.Check(now, t))

	h.Release(7)
	ok, _ := h.CanMove(now, 7)
	fmt.Println("movable:", ok)
	exchange() // The upstream acknowledges a set without the shard.
	ok, _ = h.CanMove(now, 7)
	fmt.Println("movable:", ok, g.Check(now, t))
	// Output:
	// shards granted: 0 <nil>
	// shards granted: 1 <nil>
	// {1 7 1} <nil> <nil>
	// movable: false
	// shards granted: 0 <nil>
	// movable: true shard is not granted
}
