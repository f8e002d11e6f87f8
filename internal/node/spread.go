package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/internal/home"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// maxPollBackOff bounds the pause between polls of a store that fails, so
	// that its return is noticed soon and causes no burst.
	maxPollBackOff = 5 * time.Second
	// rarePolls is how many times longer the instances that are not the reader
	// pause between polls.
	rarePolls = 8
	// announceTimeout bounds the announcement to one instance. What it misses,
	// it pulls.
	announceTimeout = time.Second
)

// pollLoop reads the whole table again and again.
func (n *Node) pollLoop() {
	p := n.s.Platform.PollInterval
	for {
		d := p
		if err := n.poll(); err != nil {
			p = min(2*p, maxPollBackOff)
			n.log.Warn().Err(err).Msg("table service can't be read")
		} else {
			p = n.s.Platform.PollInterval
			d = n.pollPause()
		}
		// The jitter keeps the instances from reading in step.
		d = d*3/4 + rand.N(d/2)
		select {
		case <-n.life.Done():
			return
		case <-time.After(d):
		}
	}
}

// pollPause returns the pause between two polls. Of the instances that hear one
// another, one polls at the interval of the settings, the others rarely: they get
// rows by announcements and pulls, and the load on the store stays small.
func (n *Node) pollPause() time.Duration {
	d := n.s.Platform.PollInterval
	if p, ok := peer.Assignee("reader", n.peers.Live()); ok && p.ID != n.self.ID {
		return rarePolls * d
	}
	return d
}

// poll reads the versions of all rows, and the rows that are newer than those
// held. The read also confirms the terms of the homes that run here.
func (n *Node) poll() error {
	sent := now()
	m, err := n.store.Versions(n.life, "")
	if err == nil {
		n.scope.Counter("store_scans").Inc(1)
		for k, v := range m {
			if h := n.home(k); h != nil {
				h.ObserveRow(sent, table.Row{Key: k, Version: v})
			}
		}
		err = n.fetch(m)
	}
	if err != nil {
		n.scope.Counter("store_failures").Inc(1)
		return err
	}
	n.polled.Store(true)
	return nil
}

// fetch reads the rows whose version is higher than that of the row held.
func (n *Node) fetch(m map[table.Key]table.Version) error {
	var l []table.Key
	for k, v := range m {
		if r, _ := n.dir.Row(k); v > r.Version {
			l = append(l, k)
		}
	}
	n.scope.Counter("store_rows_read").Inc(int64(len(l)))
	for k := range slices.Chunk(l, table.MaxItems) {
		rows, err := n.store.Read(n.life, k...)
		if err != nil {
			return err
		}
		n.apply(rows)
	}
	return nil
}

// apply takes rows into the directory and tells the homes that run here.
func (n *Node) apply(rows []table.Row) { n.changed(n.dir.Apply(rows...), "") }

// homeDirectory is the directory as a home uses it. What the home learns from
// its own reads and commits concerns the other homes of the instance, too: an
// upstream that got a shard from it may have its home here.
type homeDirectory struct {
	*route.Directory
	n   *Node
	key table.Key
}

// Apply implements home.Directory. It leaves the home itself out, which syncs
// when it has drawn its own conclusions.
func (d homeDirectory) Apply(rows ...table.Row) []table.Key {
	l := d.Directory.Apply(rows...)
	d.n.changed(l, d.key)
	return l
}

// changed tells the homes that run here, except one, of changed rows.
func (n *Node) changed(keys []table.Key, except table.Key) {
	if len(keys) == 0 {
		return
	}
	for _, k := range keys {
		x, err := route.ParseKey(k)
		if err != nil {
			continue
		}
		switch x.Kind {
		case route.KindConfig:
			r, _ := n.dir.Row(k)
			n.events.Record("config-in-force", string(k), event.Uint("version", uint64(r.Version)))
			n.syncHomes("", except)
		case route.KindBlock:
			n.syncHomes(x.Organisation+"/"+x.Service, except)
		}
	}
	n.takes.wake()
}

// syncHomes lets the homes of a service, or all for "", take over the owners in
// the directory, except one.
func (n *Node) syncHomes(service string, except table.Key) {
	for k, h := range *n.homes.Load() {
		x, err := route.ParseKey(k)
		if err == nil && k != except && (service == "" || service == x.Organisation+"/"+x.Service) {
			h.Sync()
		}
	}
}

// announce tells the other instances of rows that are known to be committed.
func (n *Node) announce(rows []table.Row) {
	n.apply(rows)
	m := &schema.AnnounceRequest{Clock: n.clock.Now()}
	for _, r := range rows {
		m.Rows = append(m.Rows, route.Encode(r))
	}
	var w sync.WaitGroup
	for _, p := range n.others() {
		w.Go(func() {
			c, f := context.WithTimeout(n.life, announceTimeout)
			defer f()
			// A failure is repaired by a pull after the next heartbeats.
			_ = n.pool.Call(c, p.RPCAddress, "Peer.Announce", m, &schema.Empty{})
		})
	}
	n.work.Go(w.Wait)
}

// others returns the other instances that are not gone.
func (n *Node) others() []peer.Instance {
	var l []peer.Instance
	for _, p := range n.peers.Instances() {
		if p.ID != n.self.ID && p.RPCAddress != "" && p.State != peer.Gone {
			l = append(l, p)
		}
	}
	return l
}

// pull fetches the rows that another instance has in a higher version.
func (n *Node) pull(address string) {
	c, f := context.WithTimeout(n.life, announceTimeout)
	defer f()
	var r schema.PullReply
	if err := n.pool.Call(c, address, "Peer.Pull", &schema.PullRequest{Versions: n.dir.Versions()}, &r); err != nil {
		return
	}
	l := make([]table.Row, 0, len(r.GetRows()))
	for _, x := range r.GetRows() {
		l = append(l, route.Decode(x))
	}
	n.apply(l)
	if len(l) > 0 {
		n.polled.Store(true)
	}
}

// listing is the platform's list of instances.
type listing struct {
	Instances []struct {
		InstanceID string `json:"instance-id"`
		RPCAddress string `json:"rpc-address"`
		State      string `json:"state"`
	} `json:"instances"`
}

// list reads the platform's list of instances.
func (n *Node) list() {
	l, err := n.fetchList()
	if err != nil {
		n.log.Warn().Err(err).Msg("list of instances can't be read")
		return
	}
	var x []peer.Listing
	for _, i := range l.Instances {
		if i.InstanceID != n.self.ID {
			x = append(x, peer.Listing{ID: i.InstanceID, RPCAddress: i.RPCAddress, Leaving: i.State == "leaving"})
		}
	}
	n.peers.RecordList(now(), x)
	n.listed.CompareAndSwap(0, int64(now()))
}

func (n *Node) fetchList() (*listing, error) {
	c, f := context.WithTimeout(n.life, n.s.Platform.CallTimeout)
	defer f()
	q, err := http.NewRequestWithContext(c, http.MethodGet, n.s.Platform.InstancesURL, nil)
	if err != nil {
		return nil, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return nil, errors.Newf("list of instances: status %d", r.StatusCode)
	}
	l := &listing{}
	return l, json.NewDecoder(r.Body).Decode(l)
}

var _ home.Directory = homeDirectory{}
