package node

import (
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/stand"
	"dandelionrock.example/dandelionrock/table"
)

// Guards the keyed traffic against a table that is down for the whole run with
// unchanged membership, and the table against a burst of writes at its return:
// at most one for each home and second.
func TestOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, service{name: "orders", settings: "idempotent = false\nshard-count = 8\nrebalance-above = 0", upstreams: 3})
	d, err := table.NewDynamo(table.DynamoConfig{URL: c.platform.URL(), Table: "dandelionrock", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	c.store = d
	c.begin()
	defer c.end()
	c.platform.SetFaults(stand.PlatformFaults{Outage: true})
	l := &log{}
	w := steady(c, l, 6)
	time.Sleep(3 * time.Second) // several renewals, heartbeats and polls
	w.pass(100)
	before := c.platform.Stats().Writes
	c.platform.SetFaults(stand.PlatformFaults{})
	const after = 3 * time.Second
	time.Sleep(after)
	w.end()
	n := c.platform.Stats().Writes - before
	if most := uint64(len(c.ups)) * uint64(after/time.Second); n > most {
		t.Errorf("%d writes within %v after the outage, at most %d are expected", n, after, most)
	}
	if err := l.verdict(); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, %v, %d writes after the outage", w.done, w.kinds, n)
}
