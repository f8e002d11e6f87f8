package syncer

import (
	"context"
	"errors"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
)

// pullLoop periodically reads the copies of other instances. After a failed read, which
// has taken longer than the interval, it asks the next one at once.
func (s *Syncer) pullLoop(c context.Context) {
	for c.Err() == nil {
		begin := clock.Boot()
		if i, ok := s.pickSource(); ok && s.pullFrom(c, i, false) == mirror.NeverRead {
			clock.Sleep(c, s.scaled(pullInterval)-clock.Boot().Sub(begin))
			continue
		}
		clock.Sleep(c, s.scaled(pullInterval))
	}
}

// pickSource returns the instance to read from.
func (s *Syncer) pickSource() (peer.Instance, bool) {
	o := s.readerOrder()
	s.mu.Lock()
	age := s.copies[targets].Age(clock.Boot())
	deputy := s.deputy.current(clock.Boot())
	s.mu.Unlock()
	var far []peer.Instance
	if age > s.scaled(farAfter) || len(o) <= 1 {
		far = s.farReaders()
	}
	s.pulls++
	return source(s.pulls, candidates(s.pulls, age, s.scaled(staleAfter), o, far, deputy), s.self.ID)
}

// farReaders returns the readers of the other regions.
func (s *Syncer) farReaders() []peer.Instance {
	var far []peer.Instance
	seen := map[string]bool{s.self.Region: true}
	for _, i := range s.View().Instances {
		if !seen[i.Region] {
			seen[i.Region] = true
			o := s.regionOrder(i.Region)
			far = append(far, o[:min(readers, len(o))]...)
		}
	}
	return far
}

// pullFrom reads the copies of an instance and merges them. If refresh is set, the
// instance reads the store before it answers, unless its copies are recent. pullFrom
// returns the age of the instance's copy of the targets, or mirror.NeverRead.
func (s *Syncer) pullFrom(c context.Context, i peer.Instance, refresh bool) time.Duration {
	s.mu.Lock()
	q := &schema.SyncRequest{Refresh: refresh}
	for n, t := range s.copies {
		q.Versions = append(q.Versions, uint64(t.VersionToPull()))
		for k, v := range t.Known() {
			q.Known = append(q.Known, &schema.KnownRow{Table: uint32(n), Key: k, Version: uint64(v)})
		}
	}
	s.mu.Unlock()
	if s.bans != nil {
		q.Bans = s.bans.Digest()
	}
	c, stop := context.WithTimeout(c, pullTimeout)
	defer stop()
	sent := clock.Boot()
	var a schema.SyncReply
	if err := s.pool.Call(c, i.RPCAddress, "Spread.Sync", q, &a); err != nil {
		s.suspect(c, i, err)
		return mirror.NeverRead
	}
	if s.bans != nil && len(a.Bans) > 0 {
		s.bans.Import(a.Bans)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteDeputy(i, sent, &a)
	for n, m := range a.Tables[:min(len(a.Tables), tables)] {
		changes, err := s.copies[n].Merge(sent, m)
		if err != nil {
			s.log.Warn().Str("event", "copy-ignored").Str("table", string(names[n])).Str("peer", i.ID).Err(err).Msg("")
		}
		s.publish(n, changes, i.ID)
	}
	if len(a.Tables) != tables || !a.Tables[targets].Known {
		return mirror.NeverRead
	}
	return time.Duration(a.Tables[targets].AgeMs) * time.Millisecond
}

// noteDeputy remembers an instance that is not a reader and whose copy is recent
// although that of this instance was stale. The caller holds mu.
func (s *Syncer) noteDeputy(i peer.Instance, sent clock.Time, a *schema.SyncReply) {
	stale := s.scaled(staleAfter)
	if len(a.Tables) != tables || s.copies[targets].Age(sent) <= stale {
		return
	}
	if m := a.Tables[targets]; m.Known && time.Duration(m.AgeMs)*time.Millisecond < stale {
		s.deputy = deputy{i.ID, sent.Add(standInTime)}
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
func (s *Syncer) Sync(q *schema.SyncRequest, a *schema.SyncReply) (err error) {
	defer s.guard.Recover("sync", &err)
	if q.Refresh {
		s.refresh()
	}
	if s.bans != nil && q.Bans != s.bans.Digest() {
		a.Bans = s.bans.Export()
	}
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
