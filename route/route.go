// Package route finds the upstream and the home that serve a key.
//
// A Directory holds table rows by key and applies only higher versions, so
// that rows may arrive late, repeated and in any order. Directories that pull
// what is newer from one another converge on the same rows. Lookups read an
// immutable snapshot and take no lock. The package performs no I/O.
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
	// ErrUnknownOrganisation reports that no configuration of the organisation
	// is in force.
	ErrUnknownOrganisation = errors.New("organisation is not known")
	// ErrUnknownService reports that the configuration in force doesn't list
	// the service.
	ErrUnknownService = errors.New("service is not known")
	// ErrNoOwner reports that the owner of the key's shard is not known.
	ErrNoOwner = errors.New("shard has no known owner")
	// ErrNoHome reports that the owner has no home, or that its home was
	// released.
	ErrNoHome = errors.New("upstream has no home")
)

// Generation counts the changes of a directory. It is not comparable between
// directories.
type Generation uint64

// Term numbers the tenures of homes over one upstream.
type Term uint64

// Target is what serves a key.
type Target struct {
	Shard    shard.ID
	Epoch    shard.Epoch
	Upstream string
	// Home is the id of the instance that is the upstream's home.
	Home string
	// Incarnation is the run of that instance that took the home.
	Incarnation string
	Term        Term
	// Block is the version of the block row that names the owner.
	Block table.Version
	// Generation is that of the snapshot that answered.
	Generation Generation
}

// Home is the home of one upstream.
type Home struct {
	Upstream    string
	Instance    string
	Incarnation string
	Term        Term
	Hold        time.Duration
	// TTL and MaxRequest are the time to live of grants and the longest request
	// of the holder.
	TTL, MaxRequest time.Duration
	Released        bool
	// TakenAt is the time of the commit by the wall clock of the holder.
	TakenAt time.Time
	// Version is that of the home row.
	Version table.Version
}

// Instance is where an instance can be reached.
type Instance struct {
	ID          string
	Incarnation string
	RPCAddress  string
	HTTPAddress string
}

// snapshot is immutable, as is everything that it refers to.
type snapshot struct {
	generation Generation
	// changed is closed when a later snapshot replaces this one.
	changed       chan struct{}
	digest        uint64
	organisations map[string]*organisation
	instances     map[string]Instance
}

type organisation struct {
	// config is nil while no configuration that parses is known.
	config   *config.Organisation
	version  table.Version
	services map[string]*service
}

type service struct {
	// owners is nil while the shard count is not known.
	owners *shard.Map
	// versions holds the version of each block row.
	versions []table.Version
	// homes is keyed by upstream.
	homes map[string]Home
}

// Resolve returns what serves a key. It takes no lock. It returns
// ErrUnknownOrganisation, ErrUnknownService, ErrNoOwner or ErrNoHome; with
// ErrNoHome, the target holds the shard and its owner.
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

// Organisation returns the configuration in force, or nil. The caller must not
// change it.
func (d *Directory) Organisation(name string) *config.Organisation {
	if o := d.current.Load().organisations[name]; o != nil {
		return o.config
	}
	return nil
}

// Organisations returns the configurations in force, sorted by name.
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

// ConfigVersions returns the version of each configuration in force.
func (d *Directory) ConfigVersions() map[string]uint64 {
	r := map[string]uint64{}
	for n, o := range d.current.Load().organisations {
		if o.config != nil {
			r[n] = uint64(o.version)
		}
	}
	return r
}

// Map returns the shard map of a service in the configuration in force, or nil.
func (d *Directory) Map(organisation, service string) *shard.Map {
	if v := d.service(organisation, service); v != nil {
		return v.owners
	}
	return nil
}

// Home returns the home of an upstream, also one that was released.
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

// Instance returns where an instance can be reached.
func (d *Directory) Instance(id string) (Instance, bool) {
	i, ok := d.current.Load().instances[id]
	return i, ok
}

// Generation returns the number of changes so far.
func (d *Directory) Generation() Generation { return d.current.Load().generation }

// Digest returns a hash over the keys and versions of all rows. Directories
// with the same rows have the same digest, whatever the order of arrival.
func (d *Directory) Digest() uint64 { return d.current.Load().digest }

// Wait returns the generation once it is higher than g. It returns the error
// of c.
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
