package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/platform"
)

func init() { cases["reborn"] = rebornWhileDraining }

// twoHolders is how long two upstreams may hold the same keys.
const twoHolders = 500 * time.Millisecond

// downTime is how long a crashed upstream is down. Its row in the store stays for three
// beats.
const downTime = time.Second

// leaveTime is how long an upstream that drains goes on before it leaves.
const leaveTime = 8 * time.Second

// rebornWhileDraining drains upstreams in turn. Each crashes while it drains, and starts
// again under its id; since it is still to leave, it reports that at once.
func rebornWhileDraining(s *scene) bool {
	s.configure(1, []string{"quotes"}, route{"r-quotes", "/quotes/", "idempotent", "quotes", "5000ms"})
	var mu sync.Mutex
	all := map[string]*upstream{}
	add := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		id := fmt.Sprintf("i-%d", n)
		all[id] = (&upstream{id: id, service: "quotes", zone: "a1", slots: 2, sharded: true}).start(s, s.network+".2")
	}
	// Two of sixteen upstreams at a time are fewer than the pages allow to leave or crash.
	const first, rounds, together = 16, 22, 2
	for n := range first {
		add(n)
	}
	gs := []*gateway{s.gateway(1, "a1", s.store.Address()), s.gateway(2, "a1", s.store.Address()), s.gateway(3, "a2", s.store.Address())}
	s.awaitReady(gs...)
	stop := make(chan struct{})
	var done sync.WaitGroup
	for n := range 6 {
		done.Go(func() {
			for k := n; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				r := get("/quotes/w200", 2*time.Second)
				r.key = k * 4099 % 65536
				_ = s.call(gs[n%3], r)
			}
		})
	}
	broken := 0
	done.Go(func() {
		since := map[string]time.Time{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			mu.Lock()
			broken += s.checkHolders(all, since)
			mu.Unlock()
		}
	})
	time.Sleep(6 * time.Second)
	for n := range rounds {
		var round []*upstream
		mu.Lock()
		for i := range together {
			round = append(round, all[fmt.Sprintf("i-%d", n*together+i)])
		}
		mu.Unlock()
		for _, u := range round {
			s.logf("upstream %s reports in the store that it drains", u.id)
			u.drain()
		}
		if s.trouble {
			time.Sleep(100 * time.Millisecond)
			for _, u := range round {
				s.logf("upstream %s crashes", u.id)
				u.crash()
			}
			time.Sleep(downTime)
			for _, u := range round {
				again := u.restart("draining")
				mu.Lock()
				all[u.id] = again
				mu.Unlock()
				s.logf("upstream %s runs again under its id, at its address, and reports that it drains", u.id)
			}
		}
		for i := range together {
			add(first + n*together + i)
		}
		time.AfterFunc(leaveTime, func() {
			mu.Lock()
			defer mu.Unlock()
			for _, u := range round {
				all[u.id].crash()
				s.store.Remove(platform.TableTargets, u.id)
				s.logf("upstream %s has left", u.id)
			}
		})
		time.Sleep(2600 * time.Millisecond)
	}
	r := get("/quotes/w5", 2*time.Second)
	r.key = 1
	a := s.call(gs[0], r)
	s.logf("a request at the end: %v", a)
	close(stop)
	done.Wait()
	for _, g := range gs {
		s.keep(g, "keys-taken", "keys-moved", "keeper-took-over", "release-failed", "grant-failed")
	}
	if a.status != http.StatusOK {
		s.fail("keys are not served at the end")
	}
	s.logf("%d times two upstreams held the same keys for over %v", broken, twoHolders)
	return broken == 0
}

// checkHolders finds pairs of upstreams that hold the same keys. since holds when a pair
// was first found to do so. It returns the number of pairs that pass twoHolders now.
func (s *scene) checkHolders(all map[string]*upstream, since map[string]time.Time) int {
	type holder struct {
		id   string
		keys []held
	}
	var hs []holder
	for _, u := range all {
		u.mu.Lock()
		h := holder{id: fmt.Sprintf("%s/%d", u.id, u.born)}
		for _, k := range u.keys {
			if !u.down && time.Now().Before(k.until) {
				h.keys = append(h.keys, k)
			}
		}
		u.mu.Unlock()
		hs = append(hs, h)
	}
	broken := 0
	found := map[string]bool{}
	for _, a := range hs {
		for _, b := range hs {
			if a.id >= b.id {
				continue
			}
			for _, x := range a.keys {
				for _, y := range b.keys {
					from, to := max(x.from, y.from), min(x.to, y.to)
					if from > to {
						continue
					}
					pair := fmt.Sprint(a.id, " ", b.id)
					found[pair] = true
					t, ok := since[pair]
					switch {
					case !ok:
						since[pair] = time.Now()
						s.logf("upstreams %s (with %d) and %s (with %d) both hold keys %d to %d", a.id, x.fence, b.id, y.fence, from, to)
					case !t.IsZero() && time.Since(t) > twoHolders:
						since[pair] = time.Time{}
						broken++
						s.logf("OWNER: upstreams %s and %s, both up, have held the same keys for over %v", a.id, b.id, twoHolders)
					}
				}
			}
		}
	}
	for pair := range since {
		if !found[pair] {
			s.logf("upstreams %s hold no key together any more", pair)
			delete(since, pair)
		}
	}
	return broken
}
