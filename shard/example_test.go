package shard_test

import (
	"fmt"

	"dandelionrock.example/dandelionrock/shard"
)

func ExampleState_Rebalance() {
	u := []shard.Upstream{{Name: "a"}, {Name: "b"}}
	blocks, _ := shard.Initial(4, u)
	m, _ := shard.NewMap("quotes", 4).With(blocks...)
	s := shard.State{Map: m, Upstreams: u, Rates: map[shard.ID]float64{0: 100, 1: 30, 2: 40, 3: 30}}
	p := s.Rebalance(shard.Policy{Above: 1.25})
	fmt.Printf("%.2f to %.2f: %v\n", p.Before, p.After, p.Moves)
	// Output: 1.30 to 1.00: [{1 a b}]
}

func ExampleMap_Find() {
	blocks, _ := shard.Initial(256, []shard.Upstream{{Name: "a"}, {Name: "b"}})
	m, _ := shard.NewMap("quotes", 256).With(blocks...)
	fmt.Println(m.Find("marsh wallaby"))
	// Output: 196 b 1
}

// A hot key is given its own shard, which moves without the other keys of its
// base shard.
func ExampleBlock_Split() {
	b, _ := shard.NewBlock(4, 0, []string{"a", "a", "b", "b"})
	b, id, _ := b.Split(shard.Hash("quotes", "marsh wallaby"))
	b, _ = b.Move(id, "b")
	m, _ := shard.NewMap("quotes", 4).With(b)
	fmt.Println(m.Find("marsh wallaby"))
	fmt.Println(m.Entry(0))
	// Output:
	// 4 b 3
	// {a 2} true
}
