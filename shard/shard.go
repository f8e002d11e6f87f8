// Package shard divides the key space of a service into shards and plans which
// upstream owns which shard.
//
// A key's hash modulo the shard count of the service gives its base shard. An
// override gives a hot key a shard of its own, so that it can move alone. Map
// finds the owner of a key; Block is the unit that one table row holds, with
// the changes that a home may commit to it. Assign, and Evacuate, Join and
// Rebalance of State, plan changes; they hold no authority and perform no I/O.
package shard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ID numbers the shards of one service from 0. IDs at or above the shard count
// of the service belong to hot keys that have a shard of their own.
type ID uint32

// Epoch counts the changes of one shard's owner or set of keys. It starts at 1
// and only grows.
type Epoch uint64

// KeyHash is the hash of a key in its service.
type KeyHash uint64

// BlockSize is the number of consecutive shards that one table row holds.
const BlockSize = 64

// String returns the decimal form of i.
func (i ID) String() string { return strconv.FormatUint(uint64(i), 10) }

// Hash returns the xxhash of the key, seeded with the xxhash of the service.
func Hash(service, key string) KeyHash {
	return hash(xxhash.Sum64String(service), key)
}

// Base returns the shard of a key that has no override. count is at least 1.
func Base(h KeyHash, count uint32) ID { return ID(uint64(h) % uint64(count)) }

// Blocks returns the number of blocks that hold count shards.
func Blocks(count uint32) int { return (int(count) + BlockSize - 1) / BlockSize }

// BlockOf returns the number of the block that holds the shard. The shards of
// hot keys are numbered such that the block follows from the number: blocks
// change without regard to one another, and still no two give out the same
// number.
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
