package keeper

import (
	"strconv"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
)

// stored identifies the row that a write replaces. The zero value stands for no row.
type stored struct {
	version platform.Version
	epoch   uint64
	nonce   uint64
	// marked is set if the write with the nonce also wrote a marker.
	marked bool
}

func storedAs(m *schema.KeyMap, v platform.Version) stored {
	return stored{v, m.GetEpoch(), m.GetNonce(), m.GetMarked()}
}

// markerKey returns the key of the marker of a write. As versions are given out again in
// a new era, a condition on the version of a row is not enough: the row may be another
// one. No other write has the same marker.
func (k *Keeper) markerKey(nonce uint64) string {
	return k.service + "/" + strconv.FormatUint(nonce, 36)
}

// write returns the write that replaces a row by b, the encoded assignment with a nonce.
func (k *Keeper) write(old stored, key string, b []byte, nonce uint64) platform.Write {
	w := platform.Write{
		Expect: []platform.Condition{{Table: platform.TableOwn, Key: key, Version: old.version}},
		Put: []platform.Row{
			{Table: platform.TableOwn, Key: key, Value: b},
			{Table: platform.TableMarkers, Key: k.markerKey(nonce), Value: []byte{1}},
		},
	}
	if old.marked {
		marker := k.markerKey(old.nonce)
		w.Expect = append(w.Expect, platform.Condition{Table: platform.TableMarkers, Key: marker, Version: old.version})
		w.Delete = []platform.Row{{Table: platform.TableMarkers, Key: marker}}
	}
	return w
}

// wasLost reports whether the store has lost the row, given the one that it has instead
// and its era: an earlier row that nobody has written in this era.
func (s stored) wasLost(found stored, e platform.Era) bool {
	return found.epoch <= s.epoch && eraOf(found.epoch) < e
}
