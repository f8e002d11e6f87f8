package shard

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Map holds the owners of all shards of one service. It is immutable and safe
// for concurrent use. A Map must be created by NewMap.
type Map struct {
	seed  uint64
	count uint32
	// blocks has one element for each block, nil for a block that is not known.
	blocks []*Block
}

// NewMap returns the map of a service with count shards, in which no block is
// known. count must be at least 1.
func NewMap(service string, count uint32) *Map {
	return &Map{xxhash.Sum64String(service), count, make([]*Block, Blocks(count))}
}

// With returns a copy of m with the given blocks in place of those with the same
// numbers. It returns ErrBlock for a block of a service with another shard
// count.
func (m *Map) With(blocks ...*Block) (*Map, error) {
	n := &Map{m.seed, m.count, slices.Clone(m.blocks)}
	for _, b := range blocks {
		if b.count != m.count {
			return nil, errors.Wrapf(ErrBlock, "block of %d shards, want %d", b.count, m.count)
		}
		n.blocks[b.number] = b
	}
	return n, nil
}

// Count returns the shard count of the service, without shards of hot keys.
func (m *Map) Count() uint32 { return m.count }

// Hash returns the hash of a key in the service of the map.
func (m *Map) Hash(key string) KeyHash { return hash(m.seed, key) }

// Find returns the shard of a key, its owner and its epoch. The owner is empty
// and the epoch is 0 if the block of the base shard is not known.
func (m *Map) Find(key string) (ID, string, Epoch) { return m.FindHash(m.Hash(key)) }

// FindHash is Find for a key whose hash is known.
func (m *Map) FindHash(h KeyHash) (ID, string, Epoch) {
	i := Base(h, m.count)
	b := m.blocks[i/BlockSize]
	if b == nil {
		return i, "", 0
	}
	if len(b.overrides) > 0 {
		if p, ok := b.findHash(h); ok {
			o := &b.overrides[p]
			return o.ID, o.Upstream, o.Epoch
		}
	}
	e := &b.shards[i%BlockSize]
	return i, e.Upstream, e.Epoch
}

// Block returns block n, or nil if it is not known or n is out of range.
func (m *Map) Block(n int) *Block {
	if n < 0 || n >= len(m.blocks) {
		return nil
	}
	return m.blocks[n]
}

// Entry returns the entry of a shard, or false if the shard does not exist or
// its block is not known.
func (m *Map) Entry(i ID) (Entry, bool) {
	if b := m.Block(BlockOf(i, m.count)); b != nil {
		return b.Entry(i)
	}
	return Entry{}, false
}

// Complete reports whether all blocks are known.
func (m *Map) Complete() bool { return !slices.Contains(m.blocks, nil) }

// All calls f for each known shard until f returns false. The order is the
// same on every call.
func (m *Map) All(f func(ID, Entry) bool) {
	more := true
	for _, b := range m.blocks {
		if b == nil {
			continue
		}
		b.All(func(i ID, e Entry) bool {
			more = f(i, e)
			return more
		})
		if !more {
			return
		}
	}
}
