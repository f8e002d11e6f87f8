package syncer

import (
	"context"
	"errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
)

// pull reads the copies of another instance of the region.
func (s *Syncer) pull(c context.Context) {
	for c.Err() == nil {
		if i, ok := s.pickSource(); ok {
			s.pullFrom(c, i)
		}
		clock.Sleep(c, s.paced(pullInterval))
	}
}

// pickSource returns the instance to read from: each of the readers in turn. If
// they have nothing new, the other instances of the region and then those of
// other regions follow, because the store may be out of reach for some only.
func (s *Syncer) pickSource() (peer.Instance, bool) {
	n := s.order()
	s.mu.Lock()
	age := s.copies[targets].Age(clock.Boot())
	s.mu.Unlock()
	switch {
	case age > s.paced(farAfter), age > s.paced(staleAfter) && len(n) <= 1:
		n = s.alive.Nearest(s.View(), "reader/"+s.self.Region, peer.Place{Region: s.self.Region})
	case age > s.paced(staleAfter):
	default:
		n = n[:min(readers, len(n))]
	}
	s.source++
	for i := range n {
		v := n[(s.source+i)%len(n)]
		if v.ID != s.self.ID {
			return v, true
		}
	}
	return peer.Instance{}, false
}

func (s *Syncer) pullFrom(c context.Context, i peer.Instance) {
	s.mu.Lock()
	q := &schema.SyncRequest{}
	for n, t := range s.copies {
		q.Versions = append(q.Versions, uint64(t.Version()))
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

func (s *Syncer) suspect(c context.Context, i peer.Instance, err error) {
	if errors.Is(c.Err(), context.Canceled) {
		return
	}
	if s.alive.Suspect(i) {
		s.log.Warn().Str("event", "instance-suspected").Str("instance", i.ID).Err(err).Str("call", "sync").Msg("")
	}
}

// Sync answers another instance that reads the copies of this one.
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
