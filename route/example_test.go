package route_test

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

func Example() {
	parse := func(string, []byte) (*config.Organisation, error) {
		return &config.Organisation{Name: "guild", Services: []*config.Service{{Name: "quotes", ShardCount: 2}}}, nil
	}
	row := func(k table.Key, v table.Version, m proto.Message) table.Row {
		b, _ := proto.Marshal(m)
		return table.Row{Key: k, Version: v, Value: b}
	}
	block, _ := shard.NewBlock(2, 0, []string{"a", "b"})
	home := route.HomeKey("guild", "quotes", "a")

	d := route.New(parse)
	d.Apply(
		row(home, 2, &schema.HomeRow{InstanceId: "instance-2", Term: 2}),
		row(home, 1, &schema.HomeRow{InstanceId: "instance-1", Term: 1}), // ignored: an older version
		row(route.BlockKey("guild", "quotes", 0), 1, block.Row()),
		row(route.ConfigKey("guild"), 1, &schema.ConfigRow{}),
	)
	t, err := d.Resolve("guild", "quotes", "marsh wallaby")
	fmt.Println(t.Upstream, t.Home, t.Term, err)
	_, err = d.Resolve("guild", "orders", "marsh wallaby")
	fmt.Println(err)
	// Output:
	// a instance-2 2 <nil>
	// service is not known
}
