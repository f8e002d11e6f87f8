package route

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

// builder builds the next snapshot from the current one. It copies an
// organisation or a service before its first change and shares the others with
// the current snapshot.
type builder struct {
	d    *Directory
	next *snapshot
	// copied holds the organisations and services that this builder has copied
	// and may change.
	copied map[any]bool
}

// newBuilder returns a builder for the next snapshot. The caller holds d.lock.
func (d *Directory) newBuilder() *builder {
	n := *d.current.Load()
	n.organisations = maps.Clone(n.organisations)
	if n.organisations == nil {
		n.organisations = map[string]*organisation{}
	}
	return &builder{d, &n, map[any]bool{}}
}

// apply updates the snapshot for a row that was just stored. If the row can't be
// applied, it records a problem.
func (b *builder) apply(r table.Row) {
	n, err := ParseKey(r.Key)
	if err == nil {
		switch n.Kind {
		case KindConfig:
			err = b.applyConfig(n, r)
		case KindHome:
			err = b.applyHome(n, r)
		case KindBlock:
			err = b.applyBlock(n, r)
		}
	}
	b.setProblem(r, err)
}

// setProblem records err as the problem of a row, or clears the problem of its
// key if err is nil.
func (b *builder) setProblem(r table.Row, err error) {
	if err != nil {
		b.d.problems[r.Key] = Problem{r.Key, r.Version, err}
		return
	}
	delete(b.d.problems, r.Key)
}

func (b *builder) applyConfig(n ParsedKey, r table.Row) error {
	var m schema.ConfigRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return errors.Wrap(err, "decode configuration row")
	}
	c, err := b.d.parse(string(r.Key), []byte(m.GetText()))
	if err != nil {
		return err
	}
	if c.Name != n.Organisation {
		return errors.Newf("configuration names organisation %q, but the row key names %q", c.Name, n.Organisation)
	}
	o := b.mutableOrganisation(n.Organisation)
	o.config, o.version = c, r.Version
	for _, s := range c.Services {
		b.resizeMap(n.Organisation, s)
	}
	for name := range o.services {
		if c.Service(name) == nil {
			v := b.mutableService(n.Organisation, name)
			v.owners, v.versions = nil, nil
		}
	}
	return nil
}

// resizeMap replaces the shard map of a service if its shard count has become
// known or has changed, and applies the stored block rows to the new map.
func (b *builder) resizeMap(organisation string, s *config.Service) {
	v := b.mutableService(organisation, s.Name)
	if s.ShardCount == 0 || v.owners != nil && v.owners.Count() == s.ShardCount {
		return
	}
	v.owners = shard.NewMap(s.Name, s.ShardCount)
	v.versions = make([]table.Version, shard.Blocks(s.ShardCount))
	for n := range v.versions {
		if r, ok := b.d.rows[BlockKey(organisation, s.Name, n)]; ok {
			b.setProblem(r, b.applyBlock(ParsedKey{KindBlock, organisation, s.Name, "", n}, r))
		}
	}
}

func (b *builder) applyHome(n ParsedKey, r table.Row) error {
	var m schema.HomeRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return errors.Wrap(err, "decode home row")
	}
	b.mutableService(n.Organisation, n.Service).homes[n.Upstream] = Home{
		Upstream:    n.Upstream,
		Instance:    m.GetInstanceId(),
		Incarnation: m.GetIncarnation(),
		Term:        Term(m.GetTerm()),
		Hold:        time.Duration(m.GetHoldMs()) * time.Millisecond,
		TTL:         time.Duration(m.GetTtlMs()) * time.Millisecond,
		MaxRequest:  time.Duration(m.GetMaxRequestMs()) * time.Millisecond,
		Released:    m.GetReleased(),
		TakenAt:     time.UnixMilli(m.GetTakenMs()),
		Version:     r.Version,
	}
	return nil
}

// applyBlock applies a block row to the shard map. It ignores the row while the
// shard count is not known; resizeMap applies it later.
func (b *builder) applyBlock(n ParsedKey, r table.Row) error {
	v := b.mutableService(n.Organisation, n.Service)
	if v.owners == nil {
		return nil
	}
	var m schema.BlockRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return errors.Wrap(err, "decode block row")
	}
	k, err := shard.Decode(v.owners.Count(), n.Block, &m)
	if err != nil {
		return err
	}
	o, err := v.owners.With(k)
	if err != nil {
		return err
	}
	v.owners, v.versions[n.Block] = o, r.Version
	return nil
}

// mutableOrganisation returns a copy of the organisation that this builder may
// change. It adds the organisation if it doesn't exist.
func (b *builder) mutableOrganisation(name string) *organisation {
	o := b.next.organisations[name]
	if o != nil && b.copied[o] {
		return o
	}
	n := &organisation{services: map[string]*service{}}
	if o != nil {
		*n = *o
		n.services = maps.Clone(o.services)
	}
	b.copied[n] = true
	b.next.organisations[name] = n
	return n
}

// mutableService returns a copy of the service that this builder may change. It
// adds the service if it doesn't exist.
func (b *builder) mutableService(organisation, name string) *service {
	o := b.mutableOrganisation(organisation)
	v := o.services[name]
	if v != nil && b.copied[v] {
		return v
	}
	n := &service{homes: map[string]Home{}}
	if v != nil {
		*n = *v
		n.homes = maps.Clone(v.homes)
		n.versions = append([]table.Version(nil), v.versions...)
	}
	b.copied[n] = true
	o.services[name] = n
	return n
}
