package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["body"] = largeBodies }

const (
	// memoryLimit is limits.memory-mb of the settings. The platform kills a process that
	// exceeds it.
	memoryLimit = 284 << 20
	// largeBody is a body within the operator's max-body-bytes of 64 MiB.
	largeBody = 60 << 20
	// senders is the number of clients that send such a body at the same time.
	senders = 4
)

// memory returns the resident memory of a process in bytes; 0 if it has ended.
func memory(pid int) int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// watchMemory kills an instance that exceeds its memory, as the platform does. It returns
// a function that returns the highest value seen.
func (s *scene) watchMemory(g *gateway) func() int64 {
	var mu sync.Mutex
	var most int64
	go func() {
		killed := false
		for {
			select {
			case <-g.done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			n := memory(g.cmd.Process.Pid)
			mu.Lock()
			most = max(most, n)
			mu.Unlock()
			if n > memoryLimit && !killed {
				killed = true
				s.logf("%s uses %d MiB and may use %d: the platform kills it", g.id, n>>20, memoryLimit>>20)
				g.signal(syscall.SIGKILL)
			}
		}
	}()
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		return most
	}
}

// largeBodies has a few clients send large bodies within the operator's limit, while
// others have requests in progress at the same instance on kept connections.
func largeBodies(s *scene) bool {
	s.configure(1, []string{"terms", "orders"},
		route{"r-terms", "/terms/", "idempotent", "terms", "5000ms"}, route{"r-orders", "/orders/", "non_idempotent", "orders", "5000ms"})
	var mu sync.Mutex
	ran := map[string]bool{}
	for n := range 8 {
		u := &upstream{id: fmt.Sprintf("i-%d", n), service: []string{"terms", "orders"}[n%2], zone: "a1", slots: 2}
		u.ran = func(id string, _ int) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		}
		u.start(s, s.network+".2")
	}
	g := s.gateway(1, "a1", s.store.Address())
	s.awaitReady(g, s.gateway(2, "a1", s.store.Address()), s.gateway(3, "a2", s.store.Address()))
	most := s.watchMemory(g)
	time.Sleep(4 * time.Second)
	lost := 0
	var done sync.WaitGroup
	for n := range 6 {
		done.Go(func() {
			c, err := connect(g.front)
			if err != nil {
				s.logf("client %d can't connect: %v", n, err)
				return
			}
			defer c.Close()
			for _, path := range []string{"/terms/w20", "/terms/w2500"} {
				r := get(path, 5*time.Second)
				_, _ = c.Write(r.encode())
				a := c.read(r.method, time.Now().Add(6*time.Second))
				s.logf("client %d: attempt %s: %v", n, r.id, a)
				mu.Lock()
				if a.err != nil && ran[r.id] {
					s.logf("LOST: attempt %s on a kept connection was passed on to an upstream, and its connection ended without an answer", r.id)
					lost++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		body := bytes.Repeat([]byte("x"), largeBody)
		for n := range senders {
			done.Go(func() {
				r := request{method: http.MethodPost, path: "/orders/w20", id: newID(), key: -1, deadline: 5 * time.Second, body: body}
				s.logf("sender %d sends attempt %s with %d bytes", n, r.id, len(body))
				s.logf("sender %d: attempt %s: %v", n, r.id, s.call(g, r))
			})
		}
	}
	done.Wait()
	s.logf("highest memory of %s: %d MiB; requests lost: %d", g.id, most()>>20, lost)
	s.keep(g, "suspected", "request-failed")
	return lost <= 3
}
