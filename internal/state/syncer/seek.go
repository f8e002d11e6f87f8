package syncer

import (
	"context"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/state/mirror"
	"dandelionrock.example/dandelionrock/peer"
)

// A reader that can't read the store looks for an instance that can, so that the copies
// of its region stay recent although nobody else knows of the fault yet.

const (
	// seekAfter is the age of the targets' copy from which a reader looks for another
	// one: pollInterval and the time of a slow read.
	seekAfter = 1250 * time.Millisecond
	// seekCheck is the interval at which a reader checks whether it must look for
	// another copy, and seekInterval the time between successful searches.
	seekCheck    = 100 * time.Millisecond
	seekInterval = 250 * time.Millisecond
	// waveInterval is the time between two waves of calls of a search: a healthy
	// instance of another region reads the store and answers within it.
	waveInterval = 150 * time.Millisecond
	// firstWave is the number of instances that are asked at first. Each further wave
	// has twice as many.
	firstWave = 5
	// maxSought bounds the instances that are asked in one search.
	maxSought = 32
	// minSeekPause and maxSeekPause bound the pause after a failed search.
	minSeekPause = 500 * time.Millisecond
	maxSeekPause = 4 * time.Second
)

// seekLoop looks for a recent copy whenever this instance is a reader that has none.
func (s *Syncer) seekLoop(c context.Context) {
	for failed := 0; c.Err() == nil; {
		pause := s.scaled(seekCheck)
		switch {
		case !s.mustSeek():
			failed = 0
		case s.seek(c, failed):
			failed = 0
			pause = s.scaled(seekInterval)
		default:
			pause = min(minSeekPause<<min(failed, 8), maxSeekPause)
			failed++
		}
		clock.Sleep(c, pause)
	}
}

// mustSeek reports whether this instance is a reader that lacks the newest copies.
func (s *Syncer) mustSeek() bool {
	if r, _ := s.rank(); r >= readers || len(s.View().Instances) < 2 {
		return false
	}
	age := s.Age()
	return age != mirror.NeverRead && (age > s.scaled(seekAfter) || s.failing[targets].Load() || s.failing[desired].Load())
}

// seek asks other instances in waves until one has a recent copy, and reports whether
// one had. failed is the number of searches before this one that found none.
func (s *Syncer) seek(c context.Context, failed int) bool {
	w := s.waves(failed)
	recent := make(chan peer.Instance, maxSought+1)
	asked := 0
	for n := range w {
		for _, i := range w[n] {
			asked++
			s.wg.Go(func() { s.guard.Once("seek", func() { s.ask(c, i, recent) }) })
		}
		wait := waveInterval
		if n == len(w)-1 {
			wait = pullTimeout
		}
		select {
		case i := <-recent:
			s.mu.Lock()
			s.sought = deputy{i.ID, clock.Boot().Add(standInTime)}
			s.mu.Unlock()
			return true
		case <-c.Done():
			return false
		case <-time.After(wait):
		}
	}
	s.log.Info().Str("event", "copy-not-found").Int("asked", asked).Int("searches", failed+1).Msg("")
	return false
}

// ask has an instance read the store and merges its copies. If they are recent, it sends
// the instance to recent.
func (s *Syncer) ask(c context.Context, i peer.Instance, recent chan<- peer.Instance) {
	if s.pullFrom(c, i, true) <= s.scaled(seekAfter) {
		recent <- i
	}
}

// waves returns the instances to ask in a search.
func (s *Syncer) waves(failed int) [][]peer.Instance {
	s.mu.Lock()
	last := s.sought.current(clock.Boot())
	s.mu.Unlock()
	near := s.readerOrder()
	var others []peer.Instance
	for _, i := range s.View().Instances {
		if i.Region != s.self.Region && !s.alive.Suspected(i) {
			others = append(others, i)
		}
	}
	return waves(s.self.ID, last, failed, s.farReaders(), near, others)
}

// waves orders the instances to ask in a search, in waves that double in size: first the
// readers of other regions, who have a recent copy unless they are denied as well, then
// the instances of the region in the order in which they read the store, then all others.
// The one that had a recent copy before is in the first wave. A search after failed ones
// asks the next instances.
func waves(self, last string, failed int, far, near, others []peer.Instance) [][]peer.Instance {
	seen := map[string]bool{self: true}
	var order []peer.Instance
	for _, i := range slices.Concat(far, near, others) {
		if !seen[i.ID] {
			seen[i.ID] = true
			order = append(order, i)
		}
	}
	if len(order) == 0 {
		return nil
	}
	if n := slices.IndexFunc(order, func(i peer.Instance) bool { return i.ID == last }); n >= 0 {
		order = slices.Concat(order[n:n+1], order[:n], order[n+1:])
	}
	if n := len(order); n > maxSought {
		at := failed * maxSought % n
		order = slices.Concat(order[at:], order[:at])[:maxSought]
	}
	var out [][]peer.Instance
	for n := firstWave; len(order) > 0; n *= 2 {
		n = min(n, len(order))
		out = append(out, order[:n])
		order = order[n:]
	}
	return out
}
