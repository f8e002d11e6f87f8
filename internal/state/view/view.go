// Package view holds what an instance believes of the configuration, the
// targets, the other instances and the owners of keys, in typed form.
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

// View is a snapshot. Its contents don't change.
type View struct {
	// Desired is nil until the first configuration is known.
	Desired *platform.Desired
	// Targets holds all targets by id.
	Targets map[string]*platform.Target
	// Services holds the targets of each service, ordered by id.
	Services map[string][]*platform.Target
	// Instances holds the instances in the directory, ordered by id.
	Instances []peer.Instance
	// Incarnations holds the runs of the instances by id.
	Incarnations map[string]string
	// Maps holds the owners of keys by service.
	Maps map[string]Map
	// Generation counts the changes of Instances.
	Generation uint64
}

// Map is the row with the owners of a service's keys.
type Map struct {
	*schema.KeyMap
	Version platform.Version
}

// Prefixes of the keys of the own table.
const (
	PrefixInstance = "instance/"
	PrefixKeys     = "keys/"
)

// Empty returns a view of nothing.
func Empty() *View {
	return &View{Targets: map[string]*platform.Target{}, Services: map[string][]*platform.Target{}, Incarnations: map[string]string{}, Maps: map[string]Map{}}
}

// Instance returns an instance of the directory.
func (v *View) Instance(id string) (peer.Instance, bool) {
	i, ok := slices.BinarySearchFunc(v.Instances, id, func(p peer.Instance, id string) int { return strings.Compare(p.ID, id) })
	if !ok {
		return peer.Instance{}, false
	}
	return v.Instances[i], true
}

// WithDesired returns the view with a changed configuration. A malformed one, or
// one whose version is not higher, leaves the view as it is.
func (v *View) WithDesired(c mirror.Change) (*View, error) {
	if c.Key != platform.KeyDesired || c.Value == nil {
		return v, nil
	}
	d, err := platform.DecodeDesired(c.Value)
	if err != nil {
		return v, err
	}
	if v.Desired != nil && d.Version <= v.Desired.Version {
		return v, errors.Newf("version %d does not follow %d", d.Version, v.Desired.Version)
	}
	n := *v
	n.Desired = d
	return &n, nil
}

// WithTargets returns the view with changed targets and the first row that
// could not be used.
func (v *View) WithTargets(changes []mirror.Change) (*View, error) {
	n := *v
	n.Targets = maps.Clone(v.Targets)
	var fault error
	for _, c := range changes {
		delete(n.Targets, c.Key)
		if c.Value == nil {
			continue
		}
		t, err := platform.DecodeTarget(c.Key, c.Value)
		if err != nil {
			fault = errors.CombineErrors(fault, err)
			continue
		}
		n.Targets[c.Key] = &t
	}
	n.Services = map[string][]*platform.Target{}
	for _, id := range slices.Sorted(maps.Keys(n.Targets)) {
		t := n.Targets[id]
		n.Services[t.Service] = append(n.Services[t.Service], t)
	}
	return &n, fault
}

// WithOwn returns the view with changed rows of the instances.
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
	i := peer.Instance{}
	i.ID, i.Incarnation, i.RPCAddress, i.Region, i.FailureDomain, i.Weight = id, m.Incarnation, m.RpcAddress, m.Region, m.FailureDomain, m.Weight
	v.Instances = append(v.Instances, i)
	v.Incarnations[id] = m.Incarnation
	return nil
}

func (v *View) setMap(service string, c mirror.Change) error {
	if c.Value == nil {
		delete(v.Maps, service)
		return nil
	}
	m := &schema.KeyMap{}
	if err := proto.Unmarshal(c.Value, m); err != nil {
		return errors.Wrapf(err, "keys of service %q", service)
	}
	v.Maps[service] = Map{m, c.Version}
	return nil
}
