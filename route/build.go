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

// build derives the next snapshot from the present one. What it changes it
// copies first, once; the rest is shared.
type build struct {
	d    *Directory
	next *snapshot
	// own holds the parts that this build has copied.
	own map[any]bool
}

// build begins a new snapshot. The lock is held.
func (d *Directory) build() *build {
	n := *d.current.Load()
	n.organisations = maps.Clone(n.organisations)
	if n.organisations == nil {
		n.organisations = map[string]*organisation{}
	}
	return &build{d, &n, map[any]bool{}}
}

// apply derives what follows from a row that was just added.
func (b *build) apply(r table.Row) {
	n, err := ParseKey(r.Key)
	if err == nil {
		switch n.Kind {
		case KindConfig:
			err = b.config(n, r)
		case KindHome:
			err = b.home(n, r)
		case KindBlock:
			err = b.block(n, r)
		}
	}
	b.report(r, err)
}

func (b *build) report(r table.Row, err error) {
	if err != nil {
		b.d.problems[r.Key] = Problem{r.Key, r.Version, err}
		return
	}
	delete(b.d.problems, r.Key)
}

func (b *build) config(n ParsedKey, r table.Row) error {
	var m schema.ConfigRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return errors.Wrap(err, "configuration row")
	}
	c, err := b.d.parse(string(r.Key), []byte(m.GetText()))
	if err != nil {
		return err
	}
	if c.Name != n.Organisation {
		return errors.Newf("configuration of %q in the row of %q", c.Name, n.Organisation)
	}
	o := b.organisation(n.Organisation)
	o.config, o.version = c, r.Version
	for _, s := range c.Services {
		b.recount(n.Organisation, s)
	}
	for name := range o.services {
		if c.Service(name) == nil {
			v := b.service(n.Organisation, name)
			v.owners, v.versions = nil, nil
		}
	}
	return nil
}

// recount reads the blocks of a service anew if its shard count has become
// known or has changed.
func (b *build) recount(organisation string, s *config.Service) {
	v := b.service(organisation, s.Name)
	if s.ShardCount == 0 || v.owners != nil && v.owners.Count() == s.ShardCount {
		return
	}
	v.owners = shard.NewMap(s.Name, s.ShardCount)
	v.versions = make([]table.Version, shard.Blocks(s.ShardCount))
	for n := range v.versions {
		if r, ok := b.d.rows[BlockKey(organisation, s.Name, n)]; ok {
			b.report(r, b.block(ParsedKey{KindBlock, organisation, s.Name, "", n}, r))
		}
	}
}

func (b *build) home(n ParsedKey, r table.Row) error {
	var m schema.HomeRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return errors.Wrap(err, "home row")
	}
	b.service(n.Organisation, n.Service).homes[n.Upstream] = Home{
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

// block reads a block row. Before the shard count is known it does nothing;
// recount reads the row then.
func (b *build) block(n ParsedKey, r table.Row) error {
	v := b.service(n.Organisation, n.Service)
	if v.owners == nil {
		return nil
	}
	var m schema.BlockRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return errors.Wrap(err, "block row")
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

// organisation returns the organisation for writing.
func (b *build) organisation(name string) *organisation {
	o := b.next.organisations[name]
	if o != nil && b.own[o] {
		return o
	}
	n := &organisation{services: map[string]*service{}}
	if o != nil {
		*n = *o
		n.services = maps.Clone(o.services)
	}
	b.own[n] = true
	b.next.organisations[name] = n
	return n
}

// service returns the service for writing.
func (b *build) service(organisation, name string) *service {
	o := b.organisation(organisation)
	v := o.services[name]
	if v != nil && b.own[v] {
		return v
	}
	n := &service{homes: map[string]Home{}}
	if v != nil {
		*n = *v
		n.homes = maps.Clone(v.homes)
		n.versions = append([]table.Version(nil), v.versions...)
	}
	b.own[n] = true
	o.services[name] = n
	return n
}
