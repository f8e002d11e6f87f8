package route

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/table"
)

// Parser parses the configuration text of an organisation. file is the name of
// the text in error messages.
type Parser func(file string, text []byte) (*config.Organisation, error)

// Problem describes a row that is stored but could not be applied.
type Problem struct {
	Key     table.Key
	Version table.Version
	// Err is the reason why the row could not be applied.
	Err error
}

// Directory stores table rows and answers lookups from them. It is safe for
// concurrent use. Create one with New.
type Directory struct {
	parse   Parser
	current atomic.Pointer[snapshot]

	// lock guards the fields below and the replacement of current.
	lock     sync.Mutex
	rows     map[table.Key]table.Row
	problems map[table.Key]Problem
	// newer reports whether version got replaces version have. Tests replace it
	// to check that they detect a wrong comparison.
	newer func(got, have table.Version) bool
}

// New returns an empty directory that parses configurations with p.
func New(p Parser) *Directory {
	d := &Directory{
		parse:    p,
		rows:     map[table.Key]table.Row{},
		problems: map[table.Key]Problem{},
		newer:    func(got, have table.Version) bool { return got > have },
	}
	d.current.Store(&snapshot{changed: make(chan struct{})})
	return d
}

// Apply stores each row whose version is higher than the stored version of its
// key, and returns the keys of these rows. A row that can't be decoded or parsed
// is stored as well, so that directories converge; lookups then still use the
// last valid row of its key, and Problems reports the row.
func (d *Directory) Apply(rows ...table.Row) []table.Key {
	d.lock.Lock()
	defer d.lock.Unlock()
	var changed []table.Key
	b := d.newBuilder()
	for _, r := range rows {
		have := d.rows[r.Key].Version
		if !d.newer(r.Version, have) {
			continue
		}
		d.rows[r.Key] = r
		b.next.digest += hashVersion(r.Key, r.Version) - hashVersion(r.Key, have)
		changed = append(changed, r.Key)
		b.apply(r)
	}
	if len(changed) > 0 {
		d.publish(b.next)
	}
	return changed
}

// SetInstance records the addresses of an instance and replaces those recorded
// before under its ID.
func (d *Directory) SetInstance(i Instance) {
	if d.current.Load().instances[i.ID] == i {
		return
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	n := *d.current.Load()
	n.instances = maps.Clone(n.instances)
	if n.instances == nil {
		n.instances = map[string]Instance{}
	}
	n.instances[i.ID] = i
	d.publish(&n)
}

// RemoveInstance removes the addresses of an instance.
func (d *Directory) RemoveInstance(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	n := *d.current.Load()
	if _, ok := n.instances[id]; ok {
		n.instances = maps.Clone(n.instances)
		delete(n.instances, id)
		d.publish(&n)
	}
}

// Row returns the stored row of a key, and whether there is one. The caller must
// not change its value.
func (d *Directory) Row(k table.Key) (table.Row, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	r, ok := d.rows[k]
	return r, ok
}

// Versions returns the version of each stored row by its key.
func (d *Directory) Versions() map[string]uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	v := make(map[string]uint64, len(d.rows))
	for k, r := range d.rows {
		v[string(k)] = uint64(r.Version)
	}
	return v
}

// Newer returns the stored rows whose version is higher than the version of their
// key in versions, sorted by key. A key that is absent from versions counts as
// version 0.
func (d *Directory) Newer(versions map[string]uint64) []table.Row {
	d.lock.Lock()
	defer d.lock.Unlock()
	var n []table.Row
	for k, r := range d.rows {
		if uint64(r.Version) > versions[string(k)] {
			n = append(n, r)
		}
	}
	slices.SortFunc(n, func(a, b table.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return n
}

// Problems returns the stored rows that could not be applied, sorted by key.
func (d *Directory) Problems() []Problem {
	d.lock.Lock()
	defer d.lock.Unlock()
	var p []Problem
	for _, k := range slices.Sorted(maps.Keys(d.problems)) {
		p = append(p, d.problems[k])
	}
	return p
}

// publish replaces the snapshot and wakes the callers of Wait. The caller holds
// d.lock.
func (d *Directory) publish(n *snapshot) {
	old := d.current.Load()
	n.generation = old.generation + 1
	n.changed = make(chan struct{})
	d.current.Store(n)
	close(old.changed)
}

// hashVersion returns a hash of the key and version of one row, and 0 for version
// 0, which stands for no row. The digest is the sum of these hashes, so that it
// doesn't depend on the order of the rows.
func hashVersion(k table.Key, v table.Version) uint64 {
	if v == 0 {
		return 0
	}
	var x xxhash.Digest
	x.ResetWithSeed(uint64(v))
	_, _ = x.WriteString(string(k))
	return x.Sum64()
}
