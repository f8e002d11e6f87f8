// Package delta encodes changes of the row that holds a service's key owners. The
// row lists the owner of each range and grows with the number of targets, but a
// move changes only a few ranges.
package delta

import (
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Keys encodes and applies changes of rows that hold a schema.KeyMap. A change is
// a KeyMap with only the ranges that differ.
type Keys struct{}

// Diff returns the encoded change from one row to another, and false if a row is
// malformed or the change is not shorter than the new row.
func (Keys) Diff(from, to []byte) ([]byte, bool) {
	var a, b schema.KeyMap
	if proto.Unmarshal(from, &a) != nil || proto.Unmarshal(to, &b) != nil {
		return nil, false
	}
	old := map[uint32]*schema.KeyRange{}
	for _, r := range a.Ranges {
		old[r.From] = r
	}
	var changed []*schema.KeyRange
	for _, r := range b.Ranges {
		if o := old[r.From]; o == nil || !proto.Equal(o, r) {
			changed = append(changed, r)
		}
	}
	b.Ranges = changed
	d, err := proto.Marshal(&b)
	return d, err == nil && len(d) < len(to)
}

// Apply applies an encoded change to a row and returns the new row.
func (Keys) Apply(from, change []byte) ([]byte, error) {
	var a, b schema.KeyMap
	if err := proto.Unmarshal(from, &a); err != nil {
		return nil, errors.Wrap(err, "decode keys")
	}
	if err := proto.Unmarshal(change, &b); err != nil {
		return nil, errors.Wrap(err, "decode change of keys")
	}
	b.Ranges = keys.Ranges(a.Ranges).Replace(b.Ranges...)
	return proto.Marshal(&b)
}
