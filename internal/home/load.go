package home

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/heavy"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

const (
	// sketchCapacity is the number of keys in the sketch. With 128 it contains
	// every key that has more than 1/128 of the upstream's load.
	sketchCapacity = 128
	// reportedKeys is the number of hot keys in one report.
	reportedKeys = 8
	// halfLife is the age at which a request counts half in the reported rates.
	halfLife = 5 * time.Second
)

// load measures the request rates of one upstream by shard and by key.
type load struct {
	mu   sync.Mutex
	keys *heavy.Sketch[string]
	// shards holds the decayed number of requests by shard.
	shards map[shard.ID]float64
	// decayedAt is the time up to which the weights have been decayed.
	decayedAt time.Time
	// window is the duration up to decayedAt that the weights cover, decayed like
	// the weights.
	window time.Duration
}

func newLoad() *load {
	return &load{keys: heavy.New[string](sketchCapacity), shards: make(map[shard.ID]float64), decayedAt: time.Now()}
}

// add counts a request.
func (l *load) add(i shard.ID, key string) {
	l.mu.Lock()
	l.shards[i]++
	l.keys.Add(key, 1)
	l.mu.Unlock()
}

// decay halves the weights once for each half-life that has passed. The caller
// holds mu.
func (l *load) decay(now time.Time) {
	for now.Sub(l.decayedAt) >= halfLife {
		l.decayedAt = l.decayedAt.Add(halfLife)
		l.window = (l.window + halfLife) / 2
		l.keys.Decay(0.5)
		for i, w := range l.shards {
			if w /= 2; w < 0.01 {
				delete(l.shards, i)
			} else {
				l.shards[i] = w
			}
		}
	}
}

// report returns the current rates in requests per second.
func (l *load) report(upstream string) *schema.UpstreamLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.decay(now)
	d := max((l.window + now.Sub(l.decayedAt)).Seconds(), 0.1)
	r := &schema.UpstreamLoad{Upstream: upstream, ShardRates: make(map[uint32]float64, len(l.shards))}
	for i, w := range l.shards {
		r.ShardRates[uint32(i)] = w / d
		r.Rate += w / d
	}
	for _, k := range l.keys.Top(reportedKeys) {
		r.HotKeys = append(r.HotKeys, &schema.HotKey{Key: k.Key, Rate: (k.Weight - k.Excess) / d})
	}
	return r
}
