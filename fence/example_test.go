package fence_test

import (
	"fmt"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/schema"
)

func ExampleGuard() {
	g := fence.New("boot-1")
	now := clock.Time(time.Second)
	a := g.Handle(now, &schema.GrantRequest{Term: 1, Sequence: 1})
	g.Handle(now, &schema.GrantRequest{
		Term: 1, Sequence: 2,
		BootId: a.GetBootId(), ReadingUs: a.GetReadingUs(), TtlUs: 500_000,
		Shards: []*schema.GrantedShard{{Shard: 7, Epoch: 1}},
	})
	fmt.Println(g.Check(now, fence.Token{Term: 1, Shard: 7, Epoch: 1}))
	fmt.Println(g.Check(now.Add(time.Second), fence.Token{Term: 1, Shard: 7, Epoch: 1}))
	// Output:
	// <nil>
	// grants of the upstream have expired
}
