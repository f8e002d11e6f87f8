// Package view holds an instance's knowledge of the configuration, the targets, the
// other instances and the owners of keys, in typed form.
package view

import (
	"maps"
	"slices"
	"strings"

	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// View is an immutable snapshot.
type View struct {
	// Desired is the configuration; nil until the first one is known.
	Desired *platform.Desired
	// Evacuated holds the failure domains whose targets must get nothing.
	Evacuated map[string]bool
	// Targets holds the registered targets by id.
	Targets map[string]*platform.Target
	// Told holds the runs of targets that have said in a response that they leave, by
	// id. Their rows may not say so yet.
	Told map[string]int64
	// Former holds the last rows of up to maxFormer runs of targets that are no
	// longer in Targets, the latest first.
	Former []*platform.Target
	// Services holds the targets of each service, ordered by id.
	Services map[string][]*platform.Target
	// Instances holds the instances in the directory, ordered by id.
	Instances []peer.Instance
	// Incarnations holds the incarnations of the instances by id.
	Incarnations map[string]string
	// Maps holds the key owners of each service.
	Maps map[string]Map
	// Generation increases with each change of the own table, and thereby of
	// Instances.
	Generation uint64
}

// Map is the row with the key owners of a service and its version.
type Map struct {
	*schema.KeyMap
	Version platform.Version
}

// Prefixes of the row keys in the own table.
const (
	PrefixInstance = "instance/"
	PrefixKeys     = "keys/"
)

// maxFormer bounds the former runs of targets that are kept. A deployment replaces
// several hundred targets within the minutes for which a former run is needed.
const maxFormer = 512

// Bounds of the numbers in rows of the own table.
const (
	// maxWeight is far above the product of the cores and the bandwidth of a machine.
	maxWeight = 1e12
	// maxEpoch leaves sixteen bits for the fences of an epoch and one for a sign.
	maxEpoch = 1 << 47
)

// Empty returns an empty view.
func Empty() *View {
	return &View{Evacuated: map[string]bool{}, Targets: map[string]*platform.Target{}, Told: map[string]int64{}, Services: map[string][]*platform.Target{}, Incarnations: map[string]string{}, Maps: map[string]Map{}}
}

// Instance returns the instance of the directory with an id, and false if there is
// none.
func (v *View) Instance(id string) (peer.Instance, bool) {
	i, ok := slices.BinarySearchFunc(v.Instances, id, func(p peer.Instance, id string) int { return strings.Compare(p.ID, id) })
	if !ok {
		return peer.Instance{}, false
	}
	return v.Instances[i], true
}

// WithDesired returns the view with a changed configuration. It returns v and an
// error if the configuration is malformed or its version is not higher.
func (v *View) WithDesired(c mirror.Change) (*View, error) {
	if d, ok := strings.CutPrefix(c.Key, platform.PrefixEvacuated); ok {
		return v.withEvacuated(d, c.Value != nil), nil
	}
	if c.Key != platform.KeyDesired || c.Value == nil {
		return v, nil
	}
	d, err := platform.DecodeDesired(c.Value)
	if err != nil {
		return v, err
	}
	if v.Desired != nil && d.Version == v.Desired.Version {
		return v, nil
	}
	if v.Desired != nil && d.Version < v.Desired.Version {
		return v, errors.Newf("configuration version %d is not higher than %d", d.Version, v.Desired.Version)
	}
	n := *v
	n.Desired = d
	return &n, nil
}

// withEvacuated returns the view with a failure domain that is evacuated or not.
func (v *View) withEvacuated(domain string, evacuated bool) *View {
	n := *v
	n.Evacuated, n.Targets = maps.Clone(v.Evacuated), maps.Clone(v.Targets)
	if evacuated {
		n.Evacuated[domain] = true
	} else {
		delete(n.Evacuated, domain)
	}
	n.groupTargets()
	return &n
}

// WithTargets returns the view with changed targets, and an error if rows could not
// be decoded; their targets are left out.
func (v *View) WithTargets(changes []mirror.Change) (*View, error) {
	n := *v
	n.Targets, n.Told = maps.Clone(v.Targets), maps.Clone(v.Told)
	var fault error
	for _, c := range changes {
		fault = errors.CombineErrors(fault, n.setTarget(c))
	}
	n.groupTargets()
	return &n, fault
}

// WithLeaving returns the view with a run of a target that has said that it leaves, and
// whether that was not known. Later rows of the run don't change it.
func (v *View) WithLeaving(id string, born int64) (*View, bool) {
	t := v.Targets[id]
	if t == nil || t.Born != born || t.Leaving {
		return v, false
	}
	n := *v
	n.Targets, n.Told = maps.Clone(v.Targets), maps.Clone(v.Told)
	n.Told[id] = born
	l := *t
	l.Leaving = true
	n.Targets[id] = &l
	n.groupTargets()
	return &n, true
}

// groupTargets sets Services from Targets, and which targets are evacuated. The map
// Targets must not be shared with another view.
func (v *View) groupTargets() {
	v.Services = map[string][]*platform.Target{}
	for _, id := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[id]
		if e := v.Evacuated[t.FailureDomain]; e != t.Evacuated {
			c := *t
			c.Evacuated = e
			t, v.Targets[id] = &c, &c
		}
		v.Services[t.Service] = append(v.Services[t.Service], t)
	}
}

// setTarget applies the row of a target. The maps Targets and Told must not be shared
// with another view.
func (v *View) setTarget(c mirror.Change) error {
	old := v.Targets[c.Key]
	delete(v.Targets, c.Key)
	var err error
	if c.Value != nil {
		var t platform.Target
		if t, err = platform.DecodeTarget(c.Key, c.Value); err == nil {
			told, ok := v.Told[c.Key]
			t.Leaving = t.Leaving || ok && told == t.Born
			v.Targets[c.Key] = &t
		}
	}
	if t := v.Targets[c.Key]; t == nil || t.Born != v.Told[c.Key] {
		delete(v.Told, c.Key)
	}
	if now := v.Targets[c.Key]; old != nil && (now == nil || now.Born != old.Born) {
		v.Former = append([]*platform.Target{old}, v.Former[:min(len(v.Former), maxFormer-1)]...)
	}
	return err
}

// Run returns the current or last row of a run of a target, or nil if it is not
// known.
func (v *View) Run(id string, born int64) *platform.Target {
	if t := v.Targets[id]; t != nil && t.Born == born {
		return t
	}
	for _, t := range v.Former {
		if t.ID == id && t.Born == born {
			return t
		}
	}
	return nil
}

// LaterRun returns the present run of a target if it is later than a given one and may
// have received calls to it: it has the same address, or that of the given run is not
// known. It returns nil if there is none.
func (v *View) LaterRun(id string, born int64) *platform.Target {
	t := v.Targets[id]
	if t == nil || t.Born <= born {
		return nil
	}
	if old := v.Run(id, born); old != nil && old.Address != t.Address {
		return nil
	}
	return t
}

// Ended reports whether a run of a target is known to have ended: a later run of
// the target has registered, or a later target has its address. A run without a row
// may still go on, unable to reach the store. Calls to a run that has ended may have
// been received by the one that LaterRun returns.
func (v *View) Ended(id string, born int64) bool {
	if t := v.Targets[id]; t != nil {
		return t.Born > born
	}
	old := v.Run(id, born)
	if old == nil || v.Desired == nil {
		return false
	}
	for _, t := range v.Targets {
		// A row with an unknown service is not evidence, since anybody may have
		// written it.
		_, known := v.Desired.Services[t.Service]
		if t.Address == old.Address && t.Born > born && known {
			return true
		}
	}
	return false
}

// WithOwn returns the view with changed rows of the own table, and an error if rows
// could not be decoded.
func (v *View) WithOwn(changes []mirror.Change) (*View, error) {
	n := *v
	n.Maps, n.Incarnations = maps.Clone(v.Maps), maps.Clone(v.Incarnations)
	n.Instances = slices.Clone(v.Instances)
	n.Generation++
	var fault error
	for _, c := range changes {
		var err error
		if id, ok := strings.CutPrefix(c.Key, PrefixInstance); ok {
			err = n.setInstance(id, c.Value)
		} else if s, ok := strings.CutPrefix(c.Key, PrefixKeys); ok {
			err = n.setMap(s, c)
		}
		fault = errors.CombineErrors(fault, err)
	}
	slices.SortFunc(n.Instances, func(a, b peer.Instance) int { return strings.Compare(a.ID, b.ID) })
	return &n, fault
}

// setInstance applies the row of an instance; nil removes the instance.
func (v *View) setInstance(id string, value []byte) error {
	v.Instances = slices.DeleteFunc(v.Instances, func(i peer.Instance) bool { return i.ID == id })
	delete(v.Incarnations, id)
	if value == nil {
		return nil
	}
	var m schema.InstanceRow
	if err := proto.Unmarshal(value, &m); err != nil {
		return errors.Wrapf(err, "row of instance %q", id)
	}
	if !(m.Weight >= 0 && m.Weight <= maxWeight) {
		return errors.Newf("row of instance %q: weight %v is out of range", id, m.Weight)
	}
	i := peer.Instance{}
	i.ID, i.Incarnation, i.RPCAddress, i.Region, i.FailureDomain, i.Weight = id, m.Incarnation, m.RpcAddress, m.Region, m.FailureDomain, m.Weight
	v.Instances = append(v.Instances, i)
	v.Incarnations[id] = m.Incarnation
	return nil
}

// setMap applies the row with a service's key owners.
func (v *View) setMap(service string, c mirror.Change) error {
	if c.Value == nil {
		delete(v.Maps, service)
		return nil
	}
	m := &schema.KeyMap{}
	if err := proto.Unmarshal(c.Value, m); err != nil {
		return errors.Wrapf(err, "keys of service %q", service)
	}
	if err := checkMap(m); err != nil {
		return errors.Wrapf(err, "keys of service %q", service)
	}
	v.Maps[service] = Map{m, c.Version}
	return nil
}

// checkMap checks that an assignment can be used: its ranges are in ascending order and
// don't overlap, and its epoch leaves room for the fences that are derived from it.
func checkMap(m *schema.KeyMap) error {
	if m.Epoch >= maxEpoch {
		return errors.Newf("epoch %d is out of range", m.Epoch)
	}
	next := uint32(0)
	for _, r := range m.Ranges {
		if r.From < next || r.To < r.From || r.To > platform.MaxKey {
			return errors.Newf("range from %d to %d is out of order or range", r.From, r.To)
		}
		next = r.To + 1
	}
	return nil
}
