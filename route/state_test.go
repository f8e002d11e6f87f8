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

// cluster is a table and the directories that receive its rows. Its methods are
// the steps of the stateful test; they return a description of the failure, or "".
type cluster struct {
	t testing.TB
	// log holds all rows ever written.
	log []table.Row
	// versions holds the current version of each row of the table.
	versions map[table.Key]table.Version
	nodes    []*node
}

// node is a directory and the state that is expected of it.
type node struct {
	*Directory
	// want is the expected version of each row.
	want map[table.Key]table.Version
	// validConfig is the version of the last valid configuration.
	validConfig table.Version
}

func newCluster(t testing.TB, newer func(got, have table.Version) bool) *cluster {
	m := &cluster{t: t, versions: map[table.Key]table.Version{}}
	for range 4 {
		d := New(parse)
		if newer != nil {
			d.newer = newer
		}
		m.nodes = append(m.nodes, &node{d, map[table.Key]table.Version{}, 0})
	}
	return m
}

// write commits a row to the table. The rows of one key come from different
// instances; their versions give the order of the commits.
func (m *cluster) write(n int) string {
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

// deliver applies some rows of any version to a directory.
func (m *cluster) deliver(n int) string {
	r, d := rand.New(rand.NewSource(int64(n))), m.nodes[n%len(m.nodes)]
	var rows []table.Row
	for range min(len(m.log), 1+n%4) {
		rows = append(rows, m.log[r.Intn(len(m.log))])
	}
	return d.apply(rows)
}

// pull applies to one directory the rows that another one has newer.
func (m *cluster) pull(n int) string {
	a, b := m.nodes[n%len(m.nodes)], m.nodes[n/4%len(m.nodes)]
	var rows []table.Row
	for _, r := range b.Newer(a.Versions()) {
		rows = append(rows, Decode(Encode(r)))
	}
	return a.apply(rows)
}

// converge makes each directory pull from its neighbour, as many rounds as there
// are directories, and checks that all have the same rows.
func (m *cluster) converge(int) string {
	for range m.nodes {
		for i := range m.nodes {
			if failure := m.pull(i + 4*((i+1)%len(m.nodes))); failure != "" {
				return failure
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

// apply applies rows to the directory and to its expected state, and compares
// them.
func (d *node) apply(rows []table.Row) string {
	g := d.Generation()
	changed := d.Apply(rows...)
	n := 0
	for _, r := range rows {
		if r.Version <= d.want[r.Key] {
			continue
		}
		d.want[r.Key] = r.Version
		n++
		if r.Key == ConfigKey("guild") && !isBad(r) {
			d.validConfig = r.Version
		}
	}
	if failure := d.check(); failure != "" {
		return failure
	}
	if len(changed) != n || (n > 0) != (d.Generation() > g) {
		return fmt.Sprintf("Apply changed the keys %v, want %d keys", changed, n)
	}
	return ""
}

// isBad reports whether a row holds the configuration text that parse rejects.
func isBad(r table.Row) bool { return strings.Contains(string(r.Value), "bad") }

// check compares the directory with its expected state.
func (d *node) check() string {
	for k, v := range d.want {
		if r, _ := d.Row(k); r.Version != v {
			return fmt.Sprintf("%s is at version %d, want %d", k, r.Version, v)
		}
		n, _ := ParseKey(k)
		if h, _ := d.Home("guild", "quotes", n.Upstream); n.Kind == KindHome && h.Instance != fmt.Sprint(v) {
			return fmt.Sprintf("home %s names instance %s, want %d", k, h.Instance, v)
		}
		if m := d.Map("guild", "quotes"); n.Kind == KindBlock && m != nil && m.Block(n.Block) == nil {
			return fmt.Sprintf("%s is missing in the shard map", k)
		}
	}
	c := d.Organisation("guild")
	if d.validConfig == 0 && c == nil {
		return ""
	}
	if c == nil || c.Services[0].Upstreams[0].Name != fmt.Sprint(d.validConfig) || d.ConfigVersions()["guild"] != uint64(d.validConfig) {
		return fmt.Sprintf("configuration versions are %v, want version %d", d.ConfigVersions(), d.validConfig)
	}
	return ""
}

func directoryProperty(t testing.TB, seed int64, newer func(got, have table.Version) bool) *gopter.Properties {
	return steps.Properties(
		seed, 200, 60, func() *cluster { return newCluster(t, newer) },
		steps.New("write", (*cluster).write), steps.New("deliver", (*cluster).deliver), steps.New("deliver", (*cluster).deliver),
		steps.New("pull", (*cluster).pull), steps.New("converge", (*cluster).converge),
	)
}

// Guards against rows that return to an earlier version, directories that don't
// converge, and a configuration that isn't the newest valid one, when rows arrive
// late, repeatedly and in any order.
func TestDirectoryStateful(t *testing.T) {
	for seed := range int64(3) {
		directoryProperty(t, seed, nil).TestingRun(t)
	}
}

// Guards against a stateful test that can't detect a wrong comparison of versions:
// it must fail for a directory that replaces a row by one of a lower version.
func TestDirectoryStatefulDetects(t *testing.T) {
	anyVersion := func(got, have table.Version) bool { return got != have }
	var out strings.Builder
	if directoryProperty(t, 1, anyVersion).Run(gopter.NewFormatedReporter(false, 75, &out)) {
		t.Error("the property holds for a directory that applies lower versions")
	}
	t.Log(out.String())
}

// Guards against lookups that return an earlier term or generation than a lookup
// before them while rows are applied concurrently. The race detector finds data
// races here.
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

// Guards against a row from the network that makes a directory panic, or that
// changes it when it is applied again.
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
			t.Errorf("row %+v changes the directory when it is applied again", r)
		}
		_, _ = d.Resolve("guild", "quotes", key)
	})
}
