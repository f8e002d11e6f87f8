package route

import (
	"fmt"
	"maps"
	"math/rand"
	"strings"
	"sync"
	"testing"

	"github.com/leanovate/gopter"

	"dandelionrock.example/dandelionrock/internal/steps"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

// mesh is a table and the directories that learn of it. Its methods are the
// commands of the stateful test and return what is wrong.
type mesh struct {
	t testing.TB
	// log holds all rows ever written; versions is the table itself.
	log      []table.Row
	versions map[table.Key]table.Version
	nodes    []*node
}

// node is a directory with what it should hold.
type node struct {
	*Directory
	have map[table.Key]table.Version
	// force is the version of the configuration that should be in force.
	force table.Version
}

func newMesh(t testing.TB, newer func(got, have table.Version) bool) *mesh {
	m := &mesh{t: t, versions: map[table.Key]table.Version{}}
	for range 4 {
		d := New(parse)
		if newer != nil {
			d.newer = newer
		}
		m.nodes = append(m.nodes, &node{d, map[table.Key]table.Version{}, 0})
	}
	return m
}

// write commits a row. Writers race, so that the rows of one key stem from
// different instances; the table orders them by version.
func (m *mesh) write(n int) string {
	i := fmt.Sprintf("i%d", n%7)
	k := []table.Key{ConfigKey("guild"), HomeKey("guild", "quotes", i), BlockKey("guild", "quotes", n%2)}[n%3]
	m.versions[k]++
	v := m.versions[k]
	r := homeRow(m.t, v, i, fmt.Sprint(v))
	switch {
	case n%3 == 0 && n%5 == 0:
		r = configRow(m.t, v, "bad")
	case n%3 == 0:
		r = configRow(m.t, v, fmt.Sprint(v))
	case n%3 == 2:
		r = blockRow(m.t, v, n%2, i)
	}
	m.log = append(m.log, r)
	return ""
}

// deliver gives some rows of any age to a directory.
func (m *mesh) deliver(n int) string {
	r, d := rand.New(rand.NewSource(int64(n))), m.nodes[n%len(m.nodes)]
	var rows []table.Row
	for range min(len(m.log), 1+n%4) {
		rows = append(rows, m.log[r.Intn(len(m.log))])
	}
	return d.take(rows)
}

// pull gives a directory what another one has.
func (m *mesh) pull(n int) string {
	a, b := m.nodes[n%len(m.nodes)], m.nodes[n/4%len(m.nodes)]
	var rows []table.Row
	for _, r := range b.Newer(a.Versions()) {
		rows = append(rows, Decode(Encode(r)))
	}
	return a.take(rows)
}

// converge lets every directory pull from its neighbour until all must agree.
func (m *mesh) converge(int) string {
	for range m.nodes {
		for i := range m.nodes {
			if bad := m.pull(i + 4*((i+1)%len(m.nodes))); bad != "" {
				return bad
			}
		}
	}
	a := m.nodes[0]
	for _, b := range m.nodes {
		if a.Digest() != b.Digest() || !maps.Equal(a.Versions(), b.Versions()) {
			return fmt.Sprintf("directories differ: %v, %v", a.Versions(), b.Versions())
		}
		for _, h := range a.Homes("guild", "quotes") {
			if o, ok := b.Home("guild", "quotes", h.Upstream); !ok || o != h {
				return fmt.Sprintf("homes differ: %+v, %+v", h, o)
			}
		}
	}
	return ""
}

// take applies rows to the directory and to what it should hold.
func (d *node) take(rows []table.Row) string {
	g := d.Generation()
	changed := d.Apply(rows...)
	n := 0
	for _, r := range rows {
		if r.Version <= d.have[r.Key] {
			continue
		}
		d.have[r.Key] = r.Version
		n++
		if r.Key == ConfigKey("guild") && !isBad(r) {
			d.force = r.Version
		}
	}
	if bad := d.check(); bad != "" {
		return bad
	}
	if len(changed) != n || (n > 0) != (d.Generation() > g) {
		return fmt.Sprintf("changed %v, want %d keys", changed, n)
	}
	return ""
}

func isBad(r table.Row) bool { return strings.Contains(string(r.Value), "bad") }

// check compares the directory with what it should hold.
func (d *node) check() string {
	for k, v := range d.have {
		if r, _ := d.Row(k); r.Version != v {
			return fmt.Sprintf("%s is at version %d, want %d", k, r.Version, v)
		}
		n, _ := ParseKey(k)
		if h, _ := d.Home("guild", "quotes", n.Upstream); n.Kind == KindHome && h.Instance != fmt.Sprint(v) {
			return fmt.Sprintf("home %s names %s, want version %d", k, h.Instance, v)
		}
		if m := d.Map("guild", "quotes"); n.Kind == KindBlock && m != nil && m.Block(n.Block) == nil {
			return fmt.Sprintf("%s is missing in the map", k)
		}
	}
	c := d.Organisation("guild")
	if d.force == 0 && c == nil {
		return ""
	}
	if c == nil || c.Services[0].Upstreams[0].Name != fmt.Sprint(d.force) || d.ConfigVersions()["guild"] != uint64(d.force) {
		return fmt.Sprintf("configuration %v is in force, want version %d", d.ConfigVersions(), d.force)
	}
	return ""
}

func property(t testing.TB, seed int64, newer func(got, have table.Version) bool) *gopter.Properties {
	return steps.Properties(
		seed, 200, 60, func() *mesh { return newMesh(t, newer) },
		steps.New("write", (*mesh).write), steps.New("deliver", (*mesh).deliver), steps.New("deliver", (*mesh).deliver),
		steps.New("pull", (*mesh).pull), steps.New("converge", (*mesh).converge),
	)
}

// Guards against rows that go back to an earlier version, directories that
// don't converge, and a configuration that isn't the newest valid one, when
// rows arrive late, repeated and reordered.
func TestDirectoryStateful(t *testing.T) {
	for seed := range int64(3) {
		property(t, seed, nil).TestingRun(t)
	}
}

// Guards against a stateful test that can't detect the fault it is made for:
// it must fail for a directory that applies any other version.
func TestDirectoryStatefulDetects(t *testing.T) {
	anyVersion := func(got, have table.Version) bool { return got != have }
	var out strings.Builder
	if property(t, 1, anyVersion).Run(gopter.NewFormatedReporter(false, 75, &out)) {
		t.Error("a directory that applies any other version passes")
	}
	t.Log(out.String())
}

// Guards against lookups that go back in time while rows are applied, and
// against races, when it runs with the race detector.
func TestConcurrent(t *testing.T) {
	d := New(parse)
	d.Apply(configRow(t, 1, "u"), homeRow(t, 1, "u", "1"), blockRow(t, 1, 0, "u"), blockRow(t, 1, 1, "u"))
	var g sync.WaitGroup
	for w := range 4 {
		g.Go(func() {
			for _, v := range rand.New(rand.NewSource(int64(w))).Perm(500) {
				d.Apply(homeRow(t, table.Version(v+1), "u", "i"), configRow(t, table.Version(v+1), "u"))
			}
		})
		g.Go(func() {
			var last Target
			for range 5000 {
				x, err := d.Resolve("guild", "quotes", "key")
				if err != nil || x.Term < last.Term || x.Generation < last.Generation {
					t.Errorf("Resolve = %+v, %v after %+v", x, err, last)
					return
				}
				last = x
			}
		})
	}
	g.Wait()
}

// Guards against bytes from the network that make a directory panic, or that
// change it when they are applied again.
func FuzzApply(f *testing.F) {
	for _, r := range []table.Row{configRow(f, 2, "u"), homeRow(f, 1, "u", "i"), blockRow(f, 3, 1, "u"), {Key: "x", Version: 1}} {
		f.Add(string(r.Key), uint64(r.Version), r.Value)
		f.Add(string(r.Key), uint64(0), r.Value[:len(r.Value)/2])
	}
	f.Add("block/guild/quotes/9223372036854775807", uint64(1), []byte{})
	f.Fuzz(func(t *testing.T, key string, version uint64, value []byte) {
		d := New(parse)
		r := Decode(&schema.Row{Key: key, Version: version, Value: value})
		n := len(d.Apply(r, configRow(t, 1, "u"), r))
		g := d.Digest()
		if len(d.Apply(r)) != 0 || d.Digest() != g || n > 3 {
			t.Errorf("row %+v applies twice", r)
		}
		_, _ = d.Resolve("guild", "quotes", key)
	})
}
