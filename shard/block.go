package shard

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/schema"
)

var (
	// ErrBlock reports a block row that contradicts the shard count or itself.
	ErrBlock = errors.New("block row is not valid")
	// ErrNoShard reports a shard or key hash that a block doesn't hold.
	ErrNoShard = errors.New("block does not hold the shard")
	// ErrSplit reports a key that already has a shard of its own.
	ErrSplit = errors.New("key already has a shard of its own")
	// ErrOwners reports a merge of shards with different owners.
	ErrOwners = errors.New("hot key and its base shard have different owners")
)

// Entry is the ownership of one shard.
type Entry struct {
	Upstream string
	// Epoch is at least 1.
	Epoch Epoch
}

// Override is the shard of a hot key.
type Override struct {
	Hash KeyHash
	ID   ID
	Entry
}

// Block is the content of one block row. It is immutable: the methods that
// change it return a copy.
type Block struct {
	number int
	count  uint32
	shards []Entry
	// hot is sorted by hash; neither hashes nor ids occur twice.
	hot []Override
	// hashes holds the hashes of hot: a search reads fewer cache lines here.
	hashes []KeyHash
}

// NewBlock returns block n of a service with count shards, with all shards at
// epoch 1. owners holds the owner of each shard of the block. With an error,
// which is ErrBlock, the block must not be used.
func NewBlock(count uint32, n int, owners []string) (*Block, error) {
	b := &Block{number: n, count: count, shards: make([]Entry, len(owners))}
	for i, o := range owners {
		b.shards[i] = Entry{o, 1}
	}
	return b, b.check()
}

// Decode reads block n of a service with count shards. With an error, which is
// ErrBlock, the block must not be used.
func Decode(count uint32, n int, r *schema.BlockRow) (*Block, error) {
	b := &Block{number: n, count: count, shards: make([]Entry, len(r.GetShards()))}
	names := map[string]string{}
	// Sharing equal names saves a copy of the name for each shard.
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
		b.hot = append(b.hot, Override{
			KeyHash(o.GetKeyHash()), ID(o.GetShard()),
			Entry{name(o.GetUpstream()), Epoch(o.GetEpoch())},
		})
	}
	slices.SortFunc(b.hot, func(x, y Override) int { return cmp.Compare(x.Hash, y.Hash) })
	for _, o := range b.hot {
		b.hashes = append(b.hashes, o.Hash)
	}
	return b, b.check()
}

// Row returns the schema form of b.
func (b *Block) Row() *schema.BlockRow {
	r := &schema.BlockRow{}
	for _, e := range b.shards {
		r.Shards = append(r.Shards, &schema.ShardEntry{Upstream: e.Upstream, Epoch: uint64(e.Epoch)})
	}
	for _, o := range b.hot {
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
func (b *Block) Overrides() []Override { return slices.Clone(b.hot) }

// Entry returns the ownership of a base shard or of the shard of a hot key.
func (b *Block) Entry(i ID) (Entry, bool) {
	if e := b.entry(i); e != nil {
		return *e, true
	}
	return Entry{}, false
}

// All calls f for each shard, base shards first, until f returns false.
func (b *Block) All(f func(ID, Entry) bool) {
	for i, e := range b.shards {
		if !f(b.First()+ID(i), e) {
			return
		}
	}
	for _, o := range b.hot {
		if !f(o.ID, o.Entry) {
			return
		}
	}
}

// Move returns b with the shard owned by the upstream and its epoch raised. It
// returns ErrNoShard.
func (b *Block) Move(i ID, upstream string) (*Block, error) {
	c := b.clone()
	e := c.entry(i)
	if e == nil || upstream == "" {
		return nil, errors.Wrapf(ErrNoShard, "shard %d, block %d, upstream %q", i, b.number, upstream)
	}
	*e = Entry{upstream, e.Epoch + 1}
	return c, nil
}

// Split returns b with a shard of its own for a key, at the owner of its base
// shard, and the number of that shard. It returns ErrSplit or ErrNoShard.
//
// The base shard's epoch grows too, so that a request for the key that was
// written under the base shard before the split is refused once the grant
// after the split is accepted. Otherwise the old owner could execute it after
// the hot key has moved. The new shard's epoch lies above all epochs of the
// block, because its number may have been used before.
func (b *Block) Split(h KeyHash) (*Block, ID, error) {
	e := b.entry(Base(h, b.count))
	if e == nil {
		return nil, 0, errors.Wrapf(ErrNoShard, "key hash %x, block %d", uint64(h), b.number)
	}
	p, ok := b.find(h)
	if ok {
		return nil, 0, errors.Wrapf(ErrSplit, "key hash %x", uint64(h))
	}
	c := b.clone()
	o := Override{h, b.free(), Entry{e.Upstream, b.highest() + 1}}
	c.hot = slices.Insert(c.hot, p, o)
	c.hashes = slices.Insert(c.hashes, p, h)
	c.entry(Base(h, b.count)).Epoch++
	return c, o.ID, nil
}

// Merge returns b without the override of a key. The key's shard and its base
// shard must have the same owner. It returns ErrNoShard or ErrOwners.
//
// The base shard's epoch grows above the epoch of the removed shard, so that
// the epoch under which the key is owned never falls.
func (b *Block) Merge(h KeyHash) (*Block, error) {
	p, ok := b.find(h)
	if !ok {
		return nil, errors.Wrapf(ErrNoShard, "key hash %x, block %d", uint64(h), b.number)
	}
	c := b.clone()
	e := c.entry(Base(h, b.count))
	if e.Upstream != b.hot[p].Upstream {
		return nil, errors.Wrapf(ErrOwners, "key hash %x", uint64(h))
	}
	e.Epoch = max(e.Epoch, b.hot[p].Epoch) + 1
	c.hot = slices.Delete(c.hot, p, p+1)
	c.hashes = slices.Delete(c.hashes, p, p+1)
	return c, nil
}

func (b *Block) clone() *Block {
	return &Block{b.number, b.count, slices.Clone(b.shards), slices.Clone(b.hot), slices.Clone(b.hashes)}
}

func (b *Block) find(h KeyHash) (int, bool) {
	return slices.BinarySearch(b.hashes, h)
}

// entry returns the place of a shard in b, or nil.
func (b *Block) entry(i ID) *Entry {
	if uint32(i) < b.count {
		if i < b.First() || int(i-b.First()) >= len(b.shards) {
			return nil
		}
		return &b.shards[i-b.First()]
	}
	for p := range b.hot {
		if b.hot[p].ID == i {
			return &b.hot[p].Entry
		}
	}
	return nil
}

// free returns the lowest unused number for the shard of a hot key.
func (b *Block) free() ID {
	i := ID(b.count + uint32(b.number))
	for b.entry(i) != nil {
		i += ID(Blocks(b.count))
	}
	return i
}

func (b *Block) highest() Epoch {
	var m Epoch
	b.All(func(_ ID, e Entry) bool {
		m = max(m, e.Epoch)
		return true
	})
	return m
}

func (b *Block) check() error {
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
	return b.checkHot()
}

func (b *Block) checkHot() error {
	ids := map[ID]bool{}
	for p, o := range b.hot {
		switch {
		case p > 0 && b.hot[p-1].Hash == o.Hash, ids[o.ID]:
			return errors.Wrapf(ErrBlock, "override of shard %d occurs twice", o.ID)
		case uint32(o.ID) < b.count || BlockOf(o.ID, b.count) != b.number:
			return errors.Wrapf(ErrBlock, "override with shard %d in block %d", o.ID, b.number)
		case BlockOf(Base(o.Hash, b.count), b.count) != b.number:
			return errors.Wrapf(ErrBlock, "key hash %x in block %d", uint64(o.Hash), b.number)
		}
		ids[o.ID] = true
	}
	return nil
}
