package syncer

import (
	"cmp"
	"strings"

	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"google.golang.org/protobuf/proto"
)

// The functions in this file order two values of a row by what they state; see
// mirror.Table.CompareBy.

// compareDesired orders configurations by the operator's version.
func compareDesired(key string, a, b []byte) (int, bool) {
	if key != platform.KeyDesired {
		return 0, false
	}
	x, errX := platform.DecodeDesired(a)
	y, errY := platform.DecodeDesired(b)
	if errX != nil || errY != nil {
		return 0, false
	}
	return cmp.Compare(x.Version, y.Version), true
}

// compareTargets orders the rows of targets.
func compareTargets(_ string, a, b []byte) (int, bool) { return platform.CompareTargets(a, b) }

// compareOwn orders assignments of keys by their epochs. The order of an instance's rows
// is not known.
func compareOwn(key string, a, b []byte) (int, bool) {
	if !strings.HasPrefix(key, view.PrefixKeys) {
		return 0, false
	}
	var x, y schema.KeyMap
	if proto.Unmarshal(a, &x) != nil || proto.Unmarshal(b, &y) != nil {
		return 0, false
	}
	return cmp.Compare(x.Epoch, y.Epoch), true
}
