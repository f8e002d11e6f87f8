package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late"] = lateRequest }

// lateRequest stops an instance and sends a request on a kept connection 3.1 s later.
func lateRequest(s *scene) bool {
	s.configure(1, []string{"terms"}, route{"r-terms", "/terms/", "idempotent", "terms", "5000ms"})
	var mu sync.Mutex
	ran := map[string]bool{}
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
	const clients, after = 3, 3100 * time.Millisecond
	lost := 0
	start := make(chan struct{})
	var done sync.WaitGroup
	for n := range clients {
		done.Go(func() {
			c, err := connect(g.front)
			if err != nil {
				s.logf("client %d can't connect: %v", n, err)
				return
			}
			defer c.Close()
			r := get("/terms/w100", 10*time.Second)
			_, _ = c.Write(r.encode())
			s.logf("client %d: attempt %s: %v", n, r.id, c.read(r.method, time.Now().Add(10*time.Second)))
			<-start
			r = get("/terms/w3000", 10*time.Second)
			_, err = c.Write(r.encode())
			s.logf("client %d has sent attempt %s on its kept connection: %v", n, r.id, err)
			a := c.read(r.method, time.Now().Add(10*time.Second))
			s.logf("client %d: attempt %s: %v", n, r.id, a)
			mu.Lock()
			defer mu.Unlock()
			if ran[r.id] && (a.err != nil || a.header.Get("Upstream-Signature") == "") {
				s.logf("LOST: attempt %s was passed on to an upstream, and got no answer of it", r.id)
				lost++
			}
		})
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.logf("SIGTERM for %s", g.id)
		g.signal(syscall.SIGTERM)
	}
	time.Sleep(after)
	close(start)
	done.Wait()
	s.keep(g, `"leaving"`, `"requests-cut"`, `"stopped"`)
	s.logf("%d of %d requests lost", lost, clients)
	return lost == 0
}
