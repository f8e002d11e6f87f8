package home

import (
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/heavy"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

const (
	// hotKeys is the capacity of the sketch. It finds every key with more than
	// 1/128 of the upstream's load.
	hotKeys = 128
	// reportedKeys is the number of hot keys in one report.
	reportedKeys = 8
	// halfLife is the age at which a request counts half in the reported rates.
	halfLife = 5 * time.Second
)

// load measures the requests of one upstream by shard and by key.
type load struct {
	mu     sync.Mutex
	keys   *heavy.Sketch[string]
	shards map[shard.ID]float64
	// since is when the weights were last decayed.
	since time.Time
	// span is the decayed duration that the weights cover.
	span time.Duration
}

func newLoad() *load {
	return &load{keys: heavy.New[string](hotKeys), shards: make(map[shard.ID]float64), since: time.Now()}
}

// add counts one request.
func (l *load) add(i shard.ID, key string) {
	l.mu.Lock()
	l.shards[i]++
	l.keys.Add(key, 1)
	l.mu.Unlock()
}

// age halves the weights once for each half-life that has passed.
func (l *load) age(now time.Time) {
	for now.Sub(l.since) >= halfLife {
		l.since = l.since.Add(halfLife)
		l.span = (l.span + halfLife) / 2
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

// report returns the rates in requests per second.
func (l *load) report(upstream string) *schema.UpstreamLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.age(now)
	d := max((l.span + now.Sub(l.since)).Seconds(), 0.1)
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
