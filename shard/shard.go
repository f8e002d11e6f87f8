// Package shard divides the key space of a service into shards and plans which
// upstream owns which shard.
package shard

import "strconv"

// ID numbers the shards of one service from 0. IDs at or above the shard count
// of the service belong to hot keys that have a shard of their own.
type ID uint32

// Epoch counts the changes of owner of one shard. It starts at 1 and only
// grows.
type Epoch uint64

// BlockSize is the number of consecutive shards that one table row holds.
const BlockSize = 64

// String returns the decimal form of i.
func (i ID) String() string { return strconv.FormatUint(uint64(i), 10) }
