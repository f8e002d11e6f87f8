package syncer

import (
	"context"
	"errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
)

// pullLoop periodically reads the copies of other instances.
func (s *Syncer) pullLoop(c context.Context) {
	for c.Err() == nil {
		if i, ok := s.pickSource(); ok {
			s.pullFrom(c, i)
		}
		clock.Sleep(c, s.scaled(pullInterval))
	}
}

// pickSource returns the instance to read from: each of the readers in turn. If the
// copy of the targets is stale, it includes the other instances of the region and
// then those of other regions, because the store may be unreachable from some
// instances only.
func (s *Syncer) pickSource() (peer.Instance, bool) {
	n := s.readerOrder()
	s.mu.Lock()
	age := s.copies[targets].Age(clock.Boot())
	s.mu.Unlock()
	switch {
	case age > s.scaled(farAfter), age > s.scaled(staleAfter) && len(n) <= 1:
		n = s.alive.Nearest(s.View(), "reader/"+s.self.Region, peer.Place{Region: s.self.Region})
	case age > s.scaled(staleAfter):
	default:
		n = n[:min(readers, len(n))]
	}
	s.pulls++
	for i := range n {
		v := n[(s.pulls+i)%len(n)]
		if v.ID != s.self.ID {
			return v, true
		}
	}
	return peer.Instance{}, false
}

// pullFrom reads the copies of an instance and merges them.
func (s *Syncer) pullFrom(c context.Context, i peer.Instance) {
	s.mu.Lock()
	q := &schema.SyncRequest{}
	for n, t := range s.copies {
		q.Versions = append(q.Versions, uint64(t.VersionToPull()))
		for k, v := range t.Known() {
			q.Known = append(q.Known, &schema.KnownRow{Table: uint32(n), Key: k, Version: uint64(v)})
		}
	}
	s.mu.Unlock()
	c, stop := context.WithTimeout(c, pullTimeout)
	defer stop()
	sent := clock.Boot()
	var a schema.SyncReply
	if err := s.pool.Call(c, i.RPCAddress, "Spread.Sync", q, &a); err != nil {
		s.suspect(c, i, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, m := range a.Tables[:min(len(a.Tables), tables)] {
		changes, err := s.copies[n].Merge(sent, m)
		if err != nil {
			s.log.Warn().Str("event", "copy-ignored").Str("table", string(names[n])).Str("peer", i.ID).Err(err).Msg("")
		}
		s.publish(n, changes)
	}
}

// suspect marks an instance as suspected after a failed call, unless the call was
// cancelled.
func (s *Syncer) suspect(c context.Context, i peer.Instance, err error) {
	if errors.Is(c.Err(), context.Canceled) {
		return
	}
	if s.alive.Suspect(i) {
		s.log.Warn().Str("event", "instance-suspected").Str("instance", i.ID).Err(err).Str("call", "sync").Msg("")
	}
}

// Sync returns what changed in the copies of this instance since the versions in
// the request. It is called by RPC.
func (s *Syncer) Sync(q *schema.SyncRequest, a *schema.SyncReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	var known [tables]map[string]platform.Version
	for _, k := range q.Known {
		if k.Table >= tables {
			continue
		}
		if known[k.Table] == nil {
			known[k.Table] = map[string]platform.Version{}
		}
		known[k.Table][k.Key] = platform.Version(k.Version)
	}
	for n, t := range s.copies {
		var v platform.Version
		if n < len(q.Versions) {
			v = platform.Version(q.Versions[n])
		}
		a.Tables = append(a.Tables, t.Since(now, v, known[n]))
	}
	return nil
}
