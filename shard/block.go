package shard

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/schema"
)

var (
	// ErrBlock reports a block row that is inconsistent or does not match the
	// shard count of the service.
	ErrBlock = errors.New("block row is not valid")
	// ErrNoShard reports a shard or key hash that a block does not hold.
	ErrNoShard = errors.New("block does not hold the shard")
	// ErrAlreadySplit reports a key that already has its own shard.
	ErrAlreadySplit = errors.New("key already has a shard of its own")
	// ErrDifferentOwners reports a merge of shards with different owners.
	ErrDifferentOwners = errors.New("hot key and its base shard have different owners")
)

// Entry holds the owner and the epoch of one shard.
type Entry struct {
	// Upstream is the name of the owner; it is not empty.
	Upstream string
	// Epoch is at least 1.
	Epoch Epoch
}

// Override assigns a hot key its own shard.
type Override struct {
	Hash KeyHash
	ID   ID
	Entry
}

// Block is the content of one block row. It is immutable: Move, Split and Merge
// return a changed copy.
type Block struct {
	number int
	count  uint32
	shards []Entry
	// overrides is sorted by hash; its hashes and its IDs are unique.
	overrides []Override
	// hashes holds the hashes of overrides. A search in it reads fewer cache
	// lines than one in overrides.
	hashes []KeyHash
}

// NewBlock returns block n of a service with count shards, with all shards at
// epoch 1. owners holds the owner of each shard of the block. If the block is
// not valid, the error is ErrBlock and the block must not be used.
func NewBlock(count uint32, n int, owners []string) (*Block, error) {
	b := &Block{number: n, count: count, shards: make([]Entry, len(owners))}
	for i, o := range owners {
		b.shards[i] = Entry{o, 1}
	}
	return b, b.validate()
}

// Decode returns block n of a service with count shards from its row. If the row
// is not valid, the error is ErrBlock and the block must not be used.
func Decode(count uint32, n int, r *schema.BlockRow) (*Block, error) {
	b := &Block{number: n, count: count, shards: make([]Entry, len(r.GetShards()))}
	names := map[string]string{}
	// Equal names share one string, which saves a copy for each shard.
	name := func(s string) string {
		if t, ok := names[s]; ok {
			return t
		}
		names[s] = s
		return s
	}
	for i, s := range r.GetShards() {
		b.shards[i] = Entry{name(s.GetUpstream()), Epoch(s.GetEpoch())}
	}
	for _, o := range r.GetOverrides() {
		b.overrides = append(b.overrides, Override{
			KeyHash(o.GetKeyHash()), ID(o.GetShard()),
			Entry{name(o.GetUpstream()), Epoch(o.GetEpoch())},
		})
	}
	slices.SortFunc(b.overrides, func(x, y Override) int { return cmp.Compare(x.Hash, y.Hash) })
	for _, o := range b.overrides {
		b.hashes = append(b.hashes, o.Hash)
	}
	return b, b.validate()
}

// Row returns the row that Decode reads.
func (b *Block) Row() *schema.BlockRow {
	r := &schema.BlockRow{}
	for _, e := range b.shards {
		r.Shards = append(r.Shards, &schema.ShardEntry{Upstream: e.Upstream, Epoch: uint64(e.Epoch)})
	}
	for _, o := range b.overrides {
		r.Overrides = append(r.Overrides, &schema.OverrideEntry{
			KeyHash: uint64(o.Hash), Shard: uint32(o.ID), Upstream: o.Upstream, Epoch: uint64(o.Epoch),
		})
	}
	return r
}

// Number returns the number of the block.
func (b *Block) Number() int { return b.number }

// First returns the first base shard of the block.
func (b *Block) First() ID { return ID(b.number * BlockSize) }

// Overrides returns the overrides, sorted by hash.
func (b *Block) Overrides() []Override { return slices.Clone(b.overrides) }

// Entry returns the entry of a base shard or of the shard of a hot key, or false
// if b does not hold it.
func (b *Block) Entry(i ID) (Entry, bool) {
	if e := b.entry(i); e != nil {
		return *e, true
	}
	return Entry{}, false
}

// All calls f for each shard, base shards first, until f returns false. The
// shards of hot keys are in the order of their key hashes.
func (b *Block) All(f func(ID, Entry) bool) {
	for i, e := range b.shards {
		if !f(b.First()+ID(i), e) {
			return
		}
	}
	for _, o := range b.overrides {
		if !f(o.ID, o.Entry) {
			return
		}
	}
}

// Move returns a copy of b in which the upstream owns the shard, whose epoch is
// increased. It returns ErrNoShard if b does not hold the shard or the upstream
// is empty.
func (b *Block) Move(i ID, upstream string) (*Block, error) {
	c := b.clone()
	e := c.entry(i)
	if e == nil || upstream == "" {
		return nil, errors.Wrapf(ErrNoShard, "shard %d, block %d, upstream %q", i, b.number, upstream)
	}
	*e = Entry{upstream, e.Epoch + 1}
	return c, nil
}

// Split returns a copy of b in which the key has its own shard, and the ID of
// that shard. The shard's owner is that of the key's base shard. Split returns
// ErrAlreadySplit if the key has its own shard already, and ErrNoShard if b does
// not hold its base shard.
//
// The base shard's epoch is increased too, so that a request for the key that
// was dispatched on the base shard before the split is refused once the grant
// after the split is accepted. Otherwise the old owner could execute the request
// after the key's shard has moved. The new shard's epoch is higher than all
// epochs of the block, because its ID may have been used before.
func (b *Block) Split(h KeyHash) (*Block, ID, error) {
	e := b.entry(Base(h, b.count))
	if e == nil {
		return nil, 0, errors.Wrapf(ErrNoShard, "key hash %x, block %d", uint64(h), b.number)
	}
	p, ok := b.findHash(h)
	if ok {
		return nil, 0, errors.Wrapf(ErrAlreadySplit, "key hash %x", uint64(h))
	}
	c := b.clone()
	o := Override{h, b.freeID(), Entry{e.Upstream, b.highestEpoch() + 1}}
	c.overrides = slices.Insert(c.overrides, p, o)
	c.hashes = slices.Insert(c.hashes, p, h)
	c.entry(Base(h, b.count)).Epoch++
	return c, o.ID, nil
}

// Merge returns a copy of b without the override of a key. It returns ErrNoShard
// if there is no such override, and ErrDifferentOwners if the key's shard and
// its base shard have different owners.
//
// The base shard's epoch is set above that of the removed shard, so that the
// epoch under which the key is owned never decreases.
func (b *Block) Merge(h KeyHash) (*Block, error) {
	p, ok := b.findHash(h)
	if !ok {
		return nil, errors.Wrapf(ErrNoShard, "key hash %x, block %d", uint64(h), b.number)
	}
	c := b.clone()
	e := c.entry(Base(h, b.count))
	if e.Upstream != b.overrides[p].Upstream {
		return nil, errors.Wrapf(ErrDifferentOwners, "key hash %x", uint64(h))
	}
	e.Epoch = max(e.Epoch, b.overrides[p].Epoch) + 1
	c.overrides = slices.Delete(c.overrides, p, p+1)
	c.hashes = slices.Delete(c.hashes, p, p+1)
	return c, nil
}

func (b *Block) clone() *Block {
	return &Block{b.number, b.count, slices.Clone(b.shards), slices.Clone(b.overrides), slices.Clone(b.hashes)}
}

// findHash returns the index of the override with the hash, or the index at
// which to insert it and false.
func (b *Block) findHash(h KeyHash) (int, bool) {
	return slices.BinarySearch(b.hashes, h)
}

// entry returns a pointer to the entry of a shard in b, or nil if b does not
// hold the shard.
func (b *Block) entry(i ID) *Entry {
	if uint32(i) < b.count {
		if i < b.First() || int(i-b.First()) >= len(b.shards) {
			return nil
		}
		return &b.shards[i-b.First()]
	}
	for p := range b.overrides {
		if b.overrides[p].ID == i {
			return &b.overrides[p].Entry
		}
	}
	return nil
}

// freeID returns the lowest unused ID for the shard of a hot key.
func (b *Block) freeID() ID {
	i := ID(b.count + uint32(b.number))
	for b.entry(i) != nil {
		i += ID(Blocks(b.count))
	}
	return i
}

// highestEpoch returns the highest epoch of all shards of b.
func (b *Block) highestEpoch() Epoch {
	var m Epoch
	b.All(func(_ ID, e Entry) bool {
		m = max(m, e.Epoch)
		return true
	})
	return m
}

func (b *Block) validate() error {
	if b.count == 0 || b.number < 0 || b.number >= Blocks(b.count) {
		return errors.Wrapf(ErrBlock, "block %d of %d shards", b.number, b.count)
	}
	if w := min(BlockSize, int(b.count)-int(b.First())); len(b.shards) != w {
		return errors.Wrapf(ErrBlock, "block %d has %d shards, want %d", b.number, len(b.shards), w)
	}
	var err error
	b.All(func(i ID, e Entry) bool {
		if e.Upstream == "" || e.Epoch == 0 {
			err = errors.Wrapf(ErrBlock, "shard %d has upstream %q and epoch %d", i, e.Upstream, e.Epoch)
		}
		return err == nil
	})
	if err != nil {
		return err
	}
	return b.validateOverrides()
}

func (b *Block) validateOverrides() error {
	ids := map[ID]bool{}
	for p, o := range b.overrides {
		switch {
		case p > 0 && b.overrides[p-1].Hash == o.Hash, ids[o.ID]:
			return errors.Wrapf(ErrBlock, "override of shard %d has the key hash or shard of another override", o.ID)
		case uint32(o.ID) < b.count || BlockOf(o.ID, b.count) != b.number:
			return errors.Wrapf(ErrBlock, "override has shard %d, which is not an override shard of block %d", o.ID, b.number)
		case BlockOf(Base(o.Hash, b.count), b.count) != b.number:
			return errors.Wrapf(ErrBlock, "override has key hash %x, whose base shard is not in block %d", uint64(o.Hash), b.number)
		}
		ids[o.ID] = true
	}
	return nil
}
