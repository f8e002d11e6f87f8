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

// Parser reads the configuration text of an organisation. file names the text
// in errors.
type Parser func(file string, text []byte) (*config.Organisation, error)

// Problem is a row that was kept but is not in force.
type Problem struct {
	Key     table.Key
	Version table.Version
	Err     error
}

// Directory holds rows and what follows from them. It is safe for concurrent
// use. Use New.
type Directory struct {
	parse   Parser
	current atomic.Pointer[snapshot]

	// lock guards the fields below and the replacement of current.
	lock     sync.Mutex
	rows     map[table.Key]table.Row
	problems map[table.Key]Problem
	// newer tells whether a version replaces another. Tests change it to show
	// that they detect its absence.
	newer func(got, have table.Version) bool
}

// New returns an empty directory.
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

// Apply adds the rows whose version is higher than that of the row held, and
// returns their keys. A row that can't be read is kept, so that directories
// converge, and reported by Problems; what was in force for its key stays in
// force.
func (d *Directory) Apply(rows ...table.Row) []table.Key {
	d.lock.Lock()
	defer d.lock.Unlock()
	var changed []table.Key
	b := d.build()
	for _, r := range rows {
		have := d.rows[r.Key].Version
		if !d.newer(r.Version, have) {
			continue
		}
		d.rows[r.Key] = r
		b.next.digest += sum(r.Key, r.Version) - sum(r.Key, have)
		changed = append(changed, r.Key)
		b.apply(r)
	}
	if len(changed) > 0 {
		d.publish(b.next)
	}
	return changed
}

// SetInstance records where an instance can be reached, replacing what was known.
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

// RemoveInstance removes what is known of an instance.
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

// Row returns the row held for a key. The caller must not change its value.
func (d *Directory) Row(k table.Key) (table.Row, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	r, ok := d.rows[k]
	return r, ok
}

// Versions returns the version of each row.
func (d *Directory) Versions() map[string]uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	v := make(map[string]uint64, len(d.rows))
	for k, r := range d.rows {
		v[string(k)] = uint64(r.Version)
	}
	return v
}

// Newer returns the rows whose version is higher than the one given, sorted by
// key. A key that is absent from versions counts as version 0.
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

// Problems returns the rows that are held but not in force, sorted by key.
func (d *Directory) Problems() []Problem {
	d.lock.Lock()
	defer d.lock.Unlock()
	var p []Problem
	for _, k := range slices.Sorted(maps.Keys(d.problems)) {
		p = append(p, d.problems[k])
	}
	return p
}

// publish replaces the snapshot and wakes the waiters. The lock is held.
func (d *Directory) publish(n *snapshot) {
	old := d.current.Load()
	n.generation = old.generation + 1
	n.changed = make(chan struct{})
	d.current.Store(n)
	close(old.changed)
}

// sum hashes the key and version of one row. The hashes are added up, which
// makes the digest independent of the order. Version 0 stands for no row.
func sum(k table.Key, v table.Version) uint64 {
	if v == 0 {
		return 0
	}
	var x xxhash.Digest
	x.ResetWithSeed(uint64(v))
	_, _ = x.WriteString(string(k))
	return x.Sum64()
}
