package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/admin"
	"dandelionrock.example/dandelionrock/lease"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

// submitTimeout bounds the commit of a configuration.
const submitTimeout = 5 * time.Second

// Submit implements admin.Submitter.
func (n *Node) Submit(c context.Context, o *config.Organisation, text []byte, basedOn uint64) (uint64, error) {
	c, f := context.WithTimeout(c, submitTimeout)
	defer f()
	k := route.ConfigKey(o.Name)
	r, err := n.readConfig(c, k)
	if err != nil {
		return 0, err
	}
	if uint64(r.Version) != basedOn {
		return 0, conflictError(r)
	}
	if old := n.dir.Organisation(o.Name); old != nil {
		if err := config.CheckChange(old, o); err != nil {
			return 0, err
		}
	}
	v, err := proto.Marshal(&schema.ConfigRow{Text: string(text), AcceptedMs: time.Now().UnixMilli()})
	if err != nil {
		return 0, errors.Mark(err, admin.ErrNotRun)
	}
	t := table.Txn{ID: table.NewTxnID(), Puts: []table.Put{r.Put(v)}}
	switch err := table.Settle(c, n.store, t); {
	case err == nil:
	case errors.Is(err, table.ErrConflict):
		return 0, n.currentConflict(c, k)
	case errors.Is(err, table.ErrAmbiguous):
		return 0, errors.Mark(err, admin.ErrUnknown)
	default:
		return 0, errors.Mark(err, admin.ErrNotRun)
	}
	rows := t.Rows()
	n.events.Record("config-accepted", string(k), event.Uint("version", uint64(rows[0].Version)))
	n.announce(rows)
	return uint64(rows[0].Version), nil
}

// readConfig reads a configuration row from the store and applies it to the
// directory, so that Submit checks a change against the version it replaces.
func (n *Node) readConfig(c context.Context, k table.Key) (table.Row, error) {
	l, err := n.store.Read(c, k)
	if err != nil {
		return table.Row{}, errors.Mark(err, admin.ErrNotRun)
	}
	if l[0].Version > 0 {
		n.apply(l)
	}
	return l[0], nil
}

// currentConflict returns the conflict error of a submit whose row was changed
// by another one first. It reads the row again to report the version in force.
func (n *Node) currentConflict(c context.Context, k table.Key) error {
	r, err := n.readConfig(c, k)
	if err != nil {
		return err
	}
	return conflictError(r)
}

// conflictError returns an admin.ConflictError with the configuration of a row.
func conflictError(r table.Row) error {
	x, err := configOf(r)
	if err != nil {
		return errors.Mark(err, admin.ErrNotRun)
	}
	return &admin.ConflictError{InForce: x}
}

// configOf decodes the configuration of a row.
func configOf(r table.Row) (admin.Config, error) {
	var m schema.ConfigRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return admin.Config{}, errors.Wrapf(err, "row %s", r.Key)
	}
	return admin.Config{Version: uint64(r.Version), Text: m.GetText()}, nil
}

// Config implements admin.Submitter. It falls back to the directory if the
// store can't be read.
func (n *Node) Config(c context.Context, organisation string) (admin.Config, error) {
	k := route.ConfigKey(organisation)
	c, f := context.WithTimeout(c, submitTimeout)
	defer f()
	r, err := n.readConfig(c, k)
	if err != nil {
		x, ok := n.dir.Row(k)
		if !ok {
			return admin.Config{}, err
		}
		r = x
	}
	return configOf(r)
}

// Status implements admin.Reporter.
func (n *Node) Status() admin.Status {
	s := admin.Status{
		InstanceID: n.self.ID, Incarnation: n.self.Incarnation,
		Region: n.self.Region, FailureDomain: n.self.FailureDomain,
		Ready: n.ready(), Leaving: n.leaving.Load(), ConfigVersions: n.dir.ConfigVersions(),
	}
	for _, p := range n.peers.Instances() {
		if x, ok := peerState(p.State); ok && p.ID != n.self.ID {
			s.Peers = append(s.Peers, admin.Peer{InstanceID: p.ID, State: x, ConfigVersions: p.ConfigVersions})
		}
	}
	for k, h := range *n.homes.Load() {
		x, err := route.ParseKey(k)
		if err != nil {
			continue
		}
		l, running, queued := h.State()
		s.Homes = append(s.Homes, admin.Home{
			Organisation: x.Organisation, Service: x.Service, Upstream: x.Upstream,
			Term: uint64(l.Term), State: homeState(l), Shards: l.Owned, InFlight: running, Queued: queued,
		})
	}
	slices.SortFunc(s.Homes, func(a, b admin.Home) int {
		return strings.Compare(a.Organisation+"/"+a.Service+"/"+a.Upstream, b.Organisation+"/"+b.Service+"/"+b.Upstream)
	})
	return s
}

// homeState returns the kebab-case name of a home's state.
func homeState(s lease.State) string {
	switch {
	case s.Superseded:
		return "superseded"
	case s.Retired:
		return "retired"
	case s.Draining:
		return "draining"
	case !s.Adopted && s.PredecessorFor > 0:
		return "waiting-for-predecessor"
	case !s.Adopted:
		return "unreachable"
	case s.ConfirmedFor <= 0 || s.NeedsConfirm:
		return "unconfirmed"
	case s.Granted < s.Owned-s.Releasing:
		return "granting"
	}
	return "serving"
}

// peerState converts the state of an instance. It returns false for an instance
// that is gone, which Status doesn't list.
func peerState(s peer.State) (admin.PeerState, bool) {
	switch s {
	case peer.Live:
		return admin.PeerLive, true
	case peer.Suspect, peer.Unknown:
		return admin.PeerSuspect, true
	case peer.Leaving:
		return admin.PeerLeaving, true
	}
	return "", false
}

// ready reports whether the instance can serve callers: it isn't leaving, has
// loaded the directory and the list of instances, and no instance is in the
// state peer.Unknown.
func (n *Node) ready() bool {
	if !n.directoryLoaded.Load() || n.leaving.Load() || n.listedAt.Load() == 0 {
		return false
	}
	for _, p := range n.peers.Instances() {
		if p.State == peer.Unknown {
			return false
		}
	}
	return true
}
