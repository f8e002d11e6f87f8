package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = plannedStop }

// plannedStop stops an instance while pipelined requests are at upstreams: the first one of
// each connection takes long, and those behind it have run by then.
func plannedStop(s *scene) bool {
	s.configure(1, []string{"terms"}, route{"r-terms", "/terms/", "idempotent", "terms", "5000ms"})
	ran := map[string]bool{}
	var mu sync.Mutex
	for n := range 6 {
		u := &upstream{id: fmt.Sprintf("i-%d", n), service: "terms", zone: "a1", slots: 2}
		u.ran = func(id string, _ int) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		}
		u.start(s, s.network+".2")
	}
	g := s.gateway(1, "a1", s.store.Address())
	s.awaitReady(g, s.gateway(2, "a1", s.store.Address()), s.gateway(3, "a2", s.store.Address()))
	time.Sleep(2 * time.Second)
	const clients, grace = 3, 6 * time.Second
	lost := 0
	var done sync.WaitGroup
	for n := range clients {
		done.Go(func() {
			c, err := connect(g.front)
			if err != nil {
				s.logf("client %d can't connect: %v", n, err)
				return
			}
			defer c.Close()
			first, second := get("/terms/w3900", 10*time.Second), get("/terms/w300", 10*time.Second)
			_, _ = c.Write(append(first.encode(), second.encode()...))
			s.logf("client %d has sent %s and, behind it, %s", n, first.id, second.id)
			for _, r := range []request{first, second} {
				a := c.read(r.method, time.Now().Add(10*time.Second))
				s.logf("client %d: attempt %s: %v", n, r.id, a)
				mu.Lock()
				if a.err != nil && ran[r.id] {
					s.logf("LOST: attempt %s was passed on to an upstream, and its connection ended without a complete answer", r.id)
					lost++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		s.logf("SIGTERM for %s", g.id)
		g.signal(syscall.SIGTERM)
	}
	done.Wait()
	if s.trouble {
		select {
		case <-g.done:
		case <-time.After(grace):
		}
	}
	s.keep(g, `"leaving"`, `"requests-cut"`, `"stopped"`)
	s.logf("%d of %d requests lost", lost, 2*clients)
	return lost == 0
}
