package main

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// upstreams and shards are the numbers of upstreams and of shards of the only
	// service of each organisation.
	upstreams = 50
	shards    = 4096
	// firstBlock is the index of the first block row among the rows of an
	// organisation, and rowsPerOrganisation the number of these rows.
	firstBlock          = 1 + upstreams
	rowsPerOrganisation = firstBlock + shards/shard.BlockSize
)

func organisation(i int) string { return fmt.Sprintf("organisation-%03d", i) }
func upstream(i int) string     { return fmt.Sprintf("upstream-%05d", i) }

// uuid returns an id in the form of a UUID: of a transaction, incarnation or boot.
func uuid(i int) string { return fmt.Sprintf("6ba7b810-9dad-11d1-80b4-%012x", i) }

// row returns a row as in a table that has been in use for some time: it has the
// ids of the last transactions that wrote it.
func row(k table.Key, m proto.Message) table.Row {
	r := table.Row{Key: k, Version: 9, Value: must(proto.Marshal(m))}
	for i := range table.RecentTxns {
		r.Txns = append(r.Txns, table.TxnID(uuid(i)))
	}
	return r
}

// rows returns the rows of n organisations.
func rows(n int) []table.Row {
	var l []table.Row
	for i := range n {
		o := organisation(i)
		l = append(l, row(route.ConfigKey(o), &schema.ConfigRow{Text: o}))
		for u := range upstreams {
			l = append(l, row(route.HomeKey(o, "quotes", upstream(u)), &schema.HomeRow{
				InstanceId: "launceston-a-0001", Incarnation: uuid(u), Term: 9, HoldMs: 10000,
				TakenMs: 1 << 40, TtlMs: 500, MaxRequestMs: 10000,
			}))
		}
		for k := range shards / shard.BlockSize {
			l = append(l, row(route.BlockKey(o, "quotes", k), block(shards, k).Row()))
		}
	}
	return l
}

func block(count, k int) *shard.Block {
	owners := make([]string, shard.BlockSize)
	for j := range owners {
		owners[j] = upstream((k*shard.BlockSize + j) * upstreams / count)
	}
	return must(shard.NewBlock(uint32(count), k, owners))
}

// fakeParse replaces the parser of configurations, whose cost is measured
// separately.
func fakeParse(_ string, text []byte) (*config.Organisation, error) {
	return &config.Organisation{Name: string(text), Services: []*config.Service{{Name: "quotes", ShardCount: shards}}}, nil
}

func directory(n int) *route.Directory {
	d := route.New(fakeParse)
	d.Apply(rows(n)...)
	return d
}

// configText returns a configuration with n upstreams.
func configText(n int) []byte {
	var b strings.Builder
	b.WriteString("organisation = \"guild\"\n[[services]]\nname = \"quotes\"\nidempotent = true\nshard-count = 256\nupstreams = [\n")
	for i := range n {
		fmt.Fprintf(&b, "  { name = %q, address = \"10.0.%d.%d:21001\", region = \"launceston\", failure-domain = \"launceston-a\", slots = 2, connections = 130, fencing = \"checked\" },\n",
			upstream(i), i/250, i%250+1)
	}
	b.WriteString("]\n")
	return []byte(b.String())
}
