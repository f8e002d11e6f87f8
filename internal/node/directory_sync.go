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
	// maxPollBackoff bounds the backoff between polls of a failing store, so that
	// the instances notice its recovery soon and without a burst of reads.
	maxPollBackoff = 5 * time.Second
	// nonReaderPollFactor is the factor by which instances other than the reader
	// extend the interval between polls.
	nonReaderPollFactor = 8
	// announceTimeout bounds an announcement to one instance, which pulls the rows
	// that it misses. It also bounds a pull.
	announceTimeout = time.Second
)

// pollLoop polls the table until the instance ends, with backoff on failures.
func (n *Node) pollLoop() {
	p := n.s.Platform.PollInterval
	for {
		d := p
		if err := n.poll(); err != nil {
			p = min(2*p, maxPollBackoff)
			n.log.Warn().Err(err).Msg("failed to poll the table service")
		} else {
			p = n.s.Platform.PollInterval
			d = n.pollDelay()
		}
		// The jitter keeps the instances from polling at the same time.
		d = d*3/4 + rand.N(d/2)
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(d):
		}
	}
}

// pollDelay returns the time until the next poll. Of the instances that hear one
// another, only the reader polls at the configured interval. The others poll less
// often, to limit the load on the store; they get rows by announcements and
// pulls.
func (n *Node) pollDelay() time.Duration {
	d := n.s.Platform.PollInterval
	if p, ok := peer.Assignee("reader", n.peers.Live()); ok && p.ID != n.self.ID {
		return nonReaderPollFactor * d
	}
	return d
}

// poll reads the versions of all rows, and those rows that are newer than in the
// directory. The versions also confirm the terms of the homes on this instance.
func (n *Node) poll() error {
	sent := now()
	m, err := n.store.Versions(n.ctx, "")
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
	n.directoryLoaded.Store(true)
	return nil
}

// fetch reads and applies the rows whose version in m is higher than in the
// directory.
func (n *Node) fetch(m map[table.Key]table.Version) error {
	var l []table.Key
	for k, v := range m {
		if r, _ := n.dir.Row(k); v > r.Version {
			l = append(l, k)
		}
	}
	n.scope.Counter("store_rows_read").Inc(int64(len(l)))
	for k := range slices.Chunk(l, table.MaxItems) {
		rows, err := n.store.Read(n.ctx, k...)
		if err != nil {
			return err
		}
		n.apply(rows)
	}
	return nil
}

// apply applies rows to the directory and notifies the homes on this instance.
func (n *Node) apply(rows []table.Row) { n.notifyHomes(n.dir.Apply(rows...), "") }

// homeDirectory is the directory of one home. Rows that the home reads or commits
// also concern the other homes of the instance: the upstream that gets a shard
// from it may have its home on the same instance.
type homeDirectory struct {
	*route.Directory
	n   *Node
	key table.Key
}

// Apply implements home.Directory. It notifies the other homes, but not the home
// that applies the rows, which syncs by itself when it has processed them.
func (d homeDirectory) Apply(rows ...table.Row) []table.Key {
	l := d.Directory.Apply(rows...)
	d.n.notifyHomes(l, d.key)
	return l
}

// notifyHomes makes the homes on this instance that changed rows concern, except
// one, sync with the directory. It also wakes the takeover loop.
func (n *Node) notifyHomes(keys []table.Key, except table.Key) {
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
	n.takeovers.wake()
}

// syncHomes makes the homes of a service ("organisation/service"; "" for all),
// except one, update their shards to the owners in the directory.
func (n *Node) syncHomes(service string, except table.Key) {
	for k, h := range *n.homes.Load() {
		x, err := route.ParseKey(k)
		if err == nil && k != except && (service == "" || service == x.Organisation+"/"+x.Service) {
			h.Sync()
		}
	}
}

// announce applies rows that are known to be committed and sends them to the
// other instances in the background.
func (n *Node) announce(rows []table.Row) {
	n.apply(rows)
	m := &schema.AnnounceRequest{Clock: n.clock.Now()}
	for _, r := range rows {
		m.Rows = append(m.Rows, route.Encode(r))
	}
	var w sync.WaitGroup
	for _, p := range n.others() {
		w.Go(func() {
			c, f := context.WithTimeout(n.ctx, announceTimeout)
			defer f()
			// After a failure, the instance pulls the rows when its heartbeats show
			// that the digests differ.
			_ = n.pool.Call(c, p.RPCAddress, "Peer.Announce", m, &schema.Empty{})
		})
	}
	n.work.Go(w.Wait)
}

// others returns the other instances with a known address that are not gone.
func (n *Node) others() []peer.Instance {
	var l []peer.Instance
	for _, p := range n.peers.Instances() {
		if p.ID != n.self.ID && p.RPCAddress != "" && p.State != peer.Gone {
			l = append(l, p)
		}
	}
	return l
}

// pull fetches and applies the rows that another instance has in a higher version.
func (n *Node) pull(address string) {
	c, f := context.WithTimeout(n.ctx, announceTimeout)
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
		n.directoryLoaded.Store(true)
	}
}

// instanceList is the platform's list of instances.
type instanceList struct {
	Instances []struct {
		InstanceID string `json:"instance-id"`
		RPCAddress string `json:"rpc-address"`
		State      string `json:"state"`
	} `json:"instances"`
}

// readInstances passes the platform's list of instances to the detector.
func (n *Node) readInstances() {
	l, err := n.fetchInstances()
	if err != nil {
		n.log.Warn().Err(err).Msg("failed to read the list of instances")
		return
	}
	var x []peer.Listing
	for _, i := range l.Instances {
		if i.InstanceID != n.self.ID {
			x = append(x, peer.Listing{ID: i.InstanceID, RPCAddress: i.RPCAddress, Leaving: i.State == "leaving"})
		}
	}
	n.peers.RecordList(now(), x)
	n.listedAt.CompareAndSwap(0, int64(now()))
}

// fetchInstances gets the list of instances from the platform. It returns an error
// if the request fails, the status isn't 200 or the body can't be decoded.
func (n *Node) fetchInstances() (*instanceList, error) {
	c, f := context.WithTimeout(n.ctx, n.s.Platform.CallTimeout)
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
	l := &instanceList{}
	return l, json.NewDecoder(r.Body).Decode(l)
}

var _ home.Directory = homeDirectory{}
