// Package shard divides the key space of a service into shards and plans which
// upstream owns each shard.
//
// The base shard of a key is its hash modulo the shard count of the service. An
// override gives a hot key its own shard, which can be moved without the other
// keys of the base shard. Map finds the owner of a key. Block is the content of
// one table row and implements the changes that a home may commit to it. Assign
// and the methods Evacuate, Join and Rebalance of State propose changes; they
// hold no authority and perform no I/O.
package shard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ID is the number of a shard of one service, from 0. IDs at or above the shard
// count of the service belong to hot keys that have their own shards.
type ID uint32

// Epoch numbers the changes of one shard's owner or set of keys. It starts at 1
// and only increases.
type Epoch uint64

// KeyHash is the hash of a key in its service, as returned by Hash.
type KeyHash uint64

// BlockSize is the number of consecutive shards that one table row holds.
const BlockSize = 64

// String returns the decimal form of i.
func (i ID) String() string { return strconv.FormatUint(uint64(i), 10) }

// Hash returns the xxhash of the key, seeded with the xxhash of the service.
func Hash(service, key string) KeyHash {
	return hash(xxhash.Sum64String(service), key)
}

// Base returns the base shard of a key in a service with count shards. count
// must be at least 1.
func Base(h KeyHash, count uint32) ID { return ID(uint64(h) % uint64(count)) }

// Blocks returns the number of blocks of a service with count shards.
func Blocks(count uint32) int { return (int(count) + BlockSize - 1) / BlockSize }

// BlockOf returns the number of the block that holds the shard, for a service
// with count shards. The ID of a hot key's shard determines its block, so that
// blocks that are changed independently never assign the same ID.
func BlockOf(i ID, count uint32) int {
	if uint32(i) < count {
		return int(i) / BlockSize
	}
	return int(uint32(i)-count) % Blocks(count)
}

func hash(seed uint64, key string) KeyHash {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(key)
	return KeyHash(d.Sum64())
}
