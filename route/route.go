// Package route finds the upstream that owns a key and the home of that upstream.
//
// A [Directory] stores table rows by key and applies a row only if its version is
// higher than the stored one, so that rows may arrive late, repeatedly and in any
// order. Directories that pull newer rows from one another converge to the same
// rows. Lookups read an immutable snapshot and take no lock. The package performs
// no I/O.
package route

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

var (
	// ErrUnknownOrganisation reports that the directory has no valid
	// configuration of the organisation.
	ErrUnknownOrganisation = errors.New("organisation is not known")
	// ErrUnknownService reports that the organisation's configuration doesn't
	// list the service.
	ErrUnknownService = errors.New("service is not known")
	// ErrNoOwner reports that the directory knows no owner of the key's shard.
	ErrNoOwner = errors.New("shard has no known owner")
	// ErrNoHome reports that the upstream that owns the shard has no home, or
	// that its home was released.
	ErrNoHome = errors.New("upstream has no home")
)

// Generation counts the changes of a directory. Generations of different
// directories can't be compared.
type Generation uint64

// Term numbers the successive holders of the home of one upstream. A later holder
// has a higher term.
type Term uint64

// Target is the result of a lookup: the shard of a key, the upstream that owns it
// and the home of that upstream.
type Target struct {
	Shard    shard.ID
	Epoch    shard.Epoch
	Upstream string
	// Home is the ID of the instance that is the upstream's home.
	Home string
	// Incarnation identifies the run of that instance that became the home.
	Incarnation string
	Term        Term
	// Block is the version of the block row that names the upstream.
	Block table.Version
	// Generation is the generation of the directory at the time of the lookup.
	Generation Generation
}

// Home describes the home of one upstream, as its home row states it.
type Home struct {
	Upstream string
	// Instance is the ID of the instance that is the home, the holder.
	Instance string
	// Incarnation identifies the run of that instance.
	Incarnation string
	Term        Term
	// Hold is the hold time that the holder uses.
	Hold time.Duration
	// TTL is the time to live of the holder's grants, MaxRequest the limit on
	// the duration of its requests.
	TTL, MaxRequest time.Duration
	// Released reports whether the holder has given up the home.
	Released bool
	// TakenAt is when the holder committed the row, by its own wall clock.
	TakenAt time.Time
	// Version is the version of the home row.
	Version table.Version
}

// Instance holds the addresses of an instance.
type Instance struct {
	ID          string
	Incarnation string
	RPCAddress  string
	HTTPAddress string
}

// snapshot is the state that lookups read. It is immutable, as is everything that
// it refers to.
type snapshot struct {
	generation Generation
	// changed is closed when a later snapshot replaces this one.
	changed chan struct{}
	// digest is the sum of hashVersion over all rows.
	digest        uint64
	organisations map[string]*organisation
	instances     map[string]Instance
}

type organisation struct {
	// config is the last valid configuration, or nil if there was none.
	config *config.Organisation
	// version is the version of the row that holds config.
	version  table.Version
	services map[string]*service
}

type service struct {
	// owners is nil while the shard count is not known, and after the
	// configuration has dropped the service.
	owners *shard.Map
	// versions holds the version of each block row, by the number of the block.
	versions []table.Version
	// homes is keyed by upstream.
	homes map[string]Home
}

// Resolve returns the target that serves a key. It takes no lock. The error is
// ErrUnknownOrganisation, ErrUnknownService, ErrNoOwner or ErrNoHome; with
// ErrNoHome, the returned target holds the shard and the upstream that owns it.
func (d *Directory) Resolve(organisation, service, key string) (Target, error) {
	s := d.current.Load()
	t := Target{Generation: s.generation}
	o := s.organisations[organisation]
	if o == nil || o.config == nil {
		return t, ErrUnknownOrganisation
	}
	v := o.services[service]
	if v == nil || v.owners == nil {
		return t, ErrUnknownService
	}
	t.Shard, t.Upstream, t.Epoch = v.owners.Find(key)
	if t.Upstream == "" {
		return t, ErrNoOwner
	}
	t.Block = v.versions[shard.BlockOf(t.Shard, v.owners.Count())]
	h, ok := v.homes[t.Upstream]
	if !ok || h.Released {
		return t, ErrNoHome
	}
	t.Home, t.Incarnation, t.Term = h.Instance, h.Incarnation, h.Term
	return t, nil
}

// Organisation returns the last valid configuration of an organisation, or nil if
// there is none. The caller must not change it.
func (d *Directory) Organisation(name string) *config.Organisation {
	if o := d.current.Load().organisations[name]; o != nil {
		return o.config
	}
	return nil
}

// Organisations returns the last valid configuration of each organisation, sorted
// by name. The caller must not change them.
func (d *Directory) Organisations() []*config.Organisation {
	var r []*config.Organisation
	s := d.current.Load()
	for _, n := range slices.Sorted(maps.Keys(s.organisations)) {
		if c := s.organisations[n].config; c != nil {
			r = append(r, c)
		}
	}
	return r
}

// ConfigVersions returns the version of each configuration that Organisations
// returns, by the name of the organisation.
func (d *Directory) ConfigVersions() map[string]uint64 {
	r := map[string]uint64{}
	for n, o := range d.current.Load().organisations {
		if o.config != nil {
			r[n] = uint64(o.version)
		}
	}
	return r
}

// Map returns the shard map of a service, or nil if the last valid configuration
// doesn't list the service.
func (d *Directory) Map(organisation, service string) *shard.Map {
	if v := d.service(organisation, service); v != nil {
		return v.owners
	}
	return nil
}

// Home returns the home of an upstream, and whether there is one. It also returns
// a home that was released.
func (d *Directory) Home(organisation, service, upstream string) (Home, bool) {
	if v := d.service(organisation, service); v != nil {
		h, ok := v.homes[upstream]
		return h, ok
	}
	return Home{}, false
}

// Homes returns the homes of a service, sorted by upstream. They include
// released ones and those of upstreams that the configuration no longer lists.
func (d *Directory) Homes(organisation, service string) []Home {
	v := d.service(organisation, service)
	if v == nil {
		return nil
	}
	r := make([]Home, 0, len(v.homes))
	for _, u := range slices.Sorted(maps.Keys(v.homes)) {
		r = append(r, v.homes[u])
	}
	return r
}

// Instance returns the addresses of an instance, and whether they are known.
func (d *Directory) Instance(id string) (Instance, bool) {
	i, ok := d.current.Load().instances[id]
	return i, ok
}

// Generation returns the number of changes of the directory so far.
func (d *Directory) Generation() Generation { return d.current.Load().generation }

// Digest returns a hash of the keys and versions of all stored rows. Directories
// with the same rows have the same digest, whatever the order in which the rows
// arrived.
func (d *Directory) Digest() uint64 { return d.current.Load().digest }

// Wait waits until the generation of the directory is higher than g and returns
// it. If c ends first, it returns the current generation and the error of c.
func (d *Directory) Wait(c context.Context, g Generation) (Generation, error) {
	for {
		s := d.current.Load()
		if s.generation > g {
			return s.generation, nil
		}
		select {
		case <-s.changed:
		case <-c.Done():
			return s.generation, c.Err()
		}
	}
}

func (d *Directory) service(organisation, service string) *service {
	if o := d.current.Load().organisations[organisation]; o != nil {
		return o.services[service]
	}
	return nil
}
