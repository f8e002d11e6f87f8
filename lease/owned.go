package lease

import "dandelionrock.example/dandelionrock/shard"

// Owned reports whether the upstream owns the shard according to the calls of
// Add and Remove.
func (h *Home) Owned(s shard.ID) bool {
	e := h.shards[s]
	return e != nil && e.owned
}

// Releasing reports whether the shard is owned and being released.
func (h *Home) Releasing(s shard.ID) bool {
	e := h.shards[s]
	return e != nil && e.owned && e.releasing
}
