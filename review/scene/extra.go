package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["extra"] = extraAnswer }

// extraAnswer drains an upstream that works on a request for a key. Once, a second copy of
// its answer to a grant arrives late, where the answer to the next call is expected.
func extraAnswer(s *scene) bool {
	s.configure(1, []string{"quotes"}, route{"r-quotes", "/quotes/", "idempotent", "quotes", "5000ms"})
	var mu sync.Mutex
	owners := map[int]*upstream{}
	answers, extras := 0, 0
	var all []*upstream
	for n := range 3 {
		u := &upstream{id: fmt.Sprintf("i-%d", n), service: "quotes", zone: "a1", slots: 2, sharded: true}
		u.ran = func(_ string, key int) {
			mu.Lock()
			defer mu.Unlock()
			owners[key] = u
		}
		u.extra = func(path string, last []byte) []byte {
			mu.Lock()
			defer mu.Unlock()
			answers++
			if !s.trouble || extras > 0 || path != "/v1/release" || last == nil {
				return nil
			}
			extras++
			s.logf("upstream %s: an extra copy of its last answer on this connection, to a grant, arrives with the call of %s", u.id, path)
			return last
		}
		all = append(all, u.start(s, s.network+".2"))
	}
	gs := []*gateway{s.gateway(1, "a1", s.store.Address()), s.gateway(2, "a1", s.store.Address()), s.gateway(3, "a2", s.store.Address())}
	s.awaitReady(gs...)
	// Traffic shows who owns which key, and that the keys are served.
	served := 0
	for n := 0; n < 400 && served < 200; n++ {
		r := get("/quotes/w5", 2*time.Second)
		r.key = n * 163 % 65536
		if a := s.call(gs[n%3], r); a.err == nil && a.status == http.StatusOK {
			served++
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if served < 200 {
		s.fail("only %d requests were served", served)
	}
	key := 20000
	r := get("/quotes/w1900", 5*time.Second)
	r.key = key
	var done sync.WaitGroup
	done.Go(func() { s.logf("the first request for key %d, attempt %s: %v", key, r.id, s.call(gs[0], r)) })
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	old := owners[key]
	mu.Unlock()
	if old == nil {
		s.fail("nobody runs the request")
	}
	s.logf("upstream %s reports in the store that it drains", old.id)
	old.drain()
	// Others must not get the key while the old owner works on it.
	broken := false
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		old.mu.Lock()
		work := old.workOn(key, key)
		old.mu.Unlock()
		for _, u := range all {
			u.mu.Lock()
			holds := u != old && u.holds(key)
			u.mu.Unlock()
			if holds && work > 0 && !broken {
				broken = true
				s.logf("OWNER: upstream %s was given key %d, on which upstream %s is still at work", u.id, key, old.id)
				n := get("/quotes/w500", 5*time.Second)
				n.key = key
				done.Go(func() { s.logf("a second request for key %d, attempt %s: %v", key, n.id, s.call(gs[1], n)) })
			}
		}
	}
	done.Wait()
	s.logf("%d of %d answers of the upstreams came twice", extras, answers)
	for _, g := range gs {
		s.keep(g, "keys-taken", "keys-moved", "keeper-took-over", "release-failed", "grant-failed")
	}
	if s.trouble && extras == 0 {
		s.fail("no release was asked for after a grant on the same connection")
	}
	return !broken
}
