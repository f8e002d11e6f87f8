package stub

import (
	"sync"
	"time"
)

// Stats is the load of the table service, in items. A query counts one read for
// each item that it returns, and at least one.
type Stats struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// ReadsPerSecond and WritesPerSecond are the rates of the last complete second,
	// the other two the highest rates of any second.
	ReadsPerSecond     uint64 `json:"reads-per-second"`
	WritesPerSecond    uint64 `json:"writes-per-second"`
	MaxReadsPerSecond  uint64 `json:"max-reads-per-second"`
	MaxWritesPerSecond uint64 `json:"max-writes-per-second"`
}

// stats counts reads and writes per second of the wall clock.
type stats struct {
	mu    sync.Mutex
	total Stats
	// second is the current second in Unix time.
	second int64
	// reads and writes are the counts of the current second.
	reads, writes uint64
}

func (s *stats) count(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	s.reads += uint64(reads)
	s.writes += uint64(writes)
	s.total.Reads += uint64(reads)
	s.total.Writes += uint64(writes)
}

// advance starts a new second if now is after the current one. The caller holds
// s.mu.
func (s *stats) advance(now time.Time) {
	n := now.Unix()
	if n <= s.second {
		return
	}
	t := &s.total
	t.MaxReadsPerSecond = max(t.MaxReadsPerSecond, s.reads)
	t.MaxWritesPerSecond = max(t.MaxWritesPerSecond, s.writes)
	t.ReadsPerSecond, t.WritesPerSecond = 0, 0
	if n == s.second+1 {
		t.ReadsPerSecond, t.WritesPerSecond = s.reads, s.writes
	}
	s.second, s.reads, s.writes = n, 0, 0
}

// report returns the load up to now.
func (s *stats) report(now time.Time) Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.total
}
