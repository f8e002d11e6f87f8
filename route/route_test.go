package route

import (
	"context"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

var errText = errors.New("configuration text is invalid")

// parse is a Parser that returns errText for the text "bad" and takes any other
// text for the name of the only upstream.
func parse(_ string, text []byte) (*config.Organisation, error) {
	if string(text) == "bad" {
		return nil, errText
	}
	return &config.Organisation{Name: "guild", Services: []*config.Service{{
		Name: "quotes", ShardCount: 100, Upstreams: []*config.Upstream{{Name: string(text)}},
	}}}, nil
}

func row(t testing.TB, k table.Key, v table.Version, m proto.Message) table.Row {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return table.Row{Key: k, Version: v, Value: b}
}

func configRow(t testing.TB, v table.Version, text string) table.Row {
	return row(t, ConfigKey("guild"), v, &schema.ConfigRow{Text: text})
}

func homeRow(t testing.TB, v table.Version, upstream, instance string) table.Row {
	return row(t, HomeKey("guild", "quotes", upstream), v,
		&schema.HomeRow{InstanceId: instance, Term: uint64(v), Released: instance == ""})
}

func blockRow(t testing.TB, v table.Version, n int, owner string) table.Row {
	o := make([]string, min(shard.BlockSize, 100-n*shard.BlockSize))
	for i := range o {
		o[i] = owner
	}
	b, err := shard.NewBlock(100, n, o)
	if err != nil {
		t.Fatal(err)
	}
	return row(t, BlockKey("guild", "quotes", n), v, b.Row())
}

// Guards against a lookup that succeeds while a row that it depends on is
// missing, or that uses an invalid, older or released row.
func TestResolve(t *testing.T) {
	d := New(parse)
	d.Apply(blockRow(t, 1, 0, "u"), blockRow(t, 3, 1, "u"))
	for _, x := range []struct {
		row  table.Row
		want error
	}{
		{homeRow(t, 2, "other", "i"), ErrUnknownOrganisation},
		{configRow(t, 1, "u"), ErrNoHome},
		{homeRow(t, 4, "u", "i"), nil},
		{configRow(t, 2, "bad"), nil},
		{homeRow(t, 3, "u", "late"), nil},
		{homeRow(t, 5, "u", ""), ErrNoHome},
	} {
		d.Apply(x.row)
		g, err := d.Resolve("guild", "quotes", "key")
		if !errors.Is(err, x.want) {
			t.Fatalf("after %s version %d: %v, want %v", x.row.Key, x.row.Version, err, x.want)
		}
		if err == nil && (g.Home != "i" || g.Term != 4 || g.Upstream != "u" || g.Generation != d.Generation()) {
			t.Errorf("Resolve = %+v", g)
		}
	}
	if _, err := d.Resolve("guild", "orders", "key"); !errors.Is(err, ErrUnknownService) {
		t.Errorf("Resolve: %v, want ErrUnknownService", err)
	}
	if p := d.Problems(); len(p) != 1 || !errors.Is(p[0].Err, errText) || p[0].Version != 2 {
		t.Errorf("Problems = %v, want the second configuration", p)
	}
}

// Guards against a Wait that misses a change or doesn't return when its context
// is cancelled.
func TestWait(t *testing.T) {
	d := New(parse)
	c, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	g := d.Generation()
	go d.SetInstance(Instance{ID: "i", RPCAddress: "127.0.0.1:1"})
	h, err := d.Wait(c, g)
	if i, ok := d.Instance("i"); err != nil || h != g+1 || !ok || i.RPCAddress != "127.0.0.1:1" {
		t.Fatalf("Wait = %d, %v; instance %+v", h, err, i)
	}
	cancel()
	if _, err := d.Wait(c, h); !errors.Is(err, context.Canceled) {
		t.Errorf("Wait: %v, want Canceled", err)
	}
}

// Guards against a key that is parsed into wrong parts, which would apply its row
// to another entry.
func TestParseKey(t *testing.T) {
	for _, k := range []table.Key{ConfigKey("o"), HomeKey("o", "s", "u"), BlockKey("o", "s", 12)} {
		if n, err := ParseKey(k); err != nil || n.Key() != k {
			t.Errorf("ParseKey(%q) = %+v, %v", k, n, err)
		}
	}
	for _, k := range []table.Key{"", "config", "config/", "home/o/s", "home/o//u", "block/o/s/x", "block/o/s/-1", "x/o"} {
		if n, err := ParseKey(k); !errors.Is(err, ErrKey) {
			t.Errorf("ParseKey(%q) = %+v, %v, want ErrKey", k, n, err)
		}
	}
}

func BenchmarkResolve(b *testing.B) {
	d := New(parse)
	d.Apply(configRow(b, 1, "u"), homeRow(b, 1, "u", "i"), blockRow(b, 1, 0, "u"), blockRow(b, 1, 1, "u"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Resolve("guild", "quotes", "key"); err != nil {
			b.Fatal(err)
		}
	}
}
