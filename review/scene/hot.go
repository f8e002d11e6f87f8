package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hot"] = hotKey }

const (
	// hotShare is the share of the requests that are for the hot key, and hotTime how long
	// it is hot.
	hotShare = 0.4
	hotTime  = 5 * time.Second
	// hotTimes is how often the key is hot.
	hotTimes = 3
	// recoverTime is the bound "recover".
	recoverTime = 15 * time.Second
	// clockTick is the unit of the processor times in /proc.
	clockTick = 10 * time.Millisecond
)

// processor returns the processor time that an instance has used.
func (g *gateway) processor() time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * clockTick
}

// hotKey has one key get much of the traffic for some seconds: key 0.
func hotKey(s *scene) bool {
	s.configure(1, []string{"quotes"}, route{"r-quotes", "/quotes/", "idempotent", "quotes", "2500ms"})
	var us []*upstream
	for n := range 4 {
		us = append(us, (&upstream{id: fmt.Sprintf("i-%d", n), service: "quotes", zone: "a1", slots: 2, sharded: true}).start(s, s.network+".2"))
	}
	var gs []*gateway
	for n := range 3 {
		gs = append(gs, s.gateway(n+1, []string{"a1", "a2"}[n%2], s.store.Address()))
	}
	s.awaitReady(gs...)
	time.Sleep(5 * time.Second)
	// 40 requests a second, of 100 ms each, at 4 upstreams with 2 slots.
	s.traffic(gs, 5*time.Second, -1)
	for range hotTimes {
		key := -1
		if s.trouble {
			s.logf("key 0 gets %.0f in 100 requests for %v", 100*hotShare, hotTime)
			key = 0
		}
		s.traffic(gs, hotTime, key)
		s.logf("key 0 gets no more than others")
		s.traffic(gs, 2*time.Second, -1)
	}
	s.logf("upstream %s reports in the store that it drains", us[3].id)
	us[3].drain()
	s.traffic(gs, recoverTime, -1)
	s.logf("%v later:", recoverTime)
	s.traffic(gs, 10*time.Second, -1)
	spinning := 0
	var before []time.Duration
	for _, g := range gs {
		before = append(before, g.processor())
	}
	const idle = 5 * time.Second
	time.Sleep(idle)
	for n, g := range gs {
		used := g.processor() - before[n]
		s.logf("%s has used %v of processor time in %v without any request", g.id, used, idle)
		if used > idle*9/10 {
			spinning++
		}
		s.keep(g, "keeper-took-over", "keys-taken", "instance-suspected")
	}
	for _, g := range gs {
		g.signal(syscall.SIGTERM)
	}
	const grace = 6 * time.Second
	time.Sleep(grace)
	for _, g := range gs {
		select {
		case <-g.done:
		default:
			s.logf("%s still runs %v after SIGTERM", g.id, grace)
		}
	}
	s.logf("%d of %d processes don't hand back the processor", spinning, len(gs))
	return spinning == 0
}

// traffic sends requests for a time, a share of them for a hot key if it is not negative.
func (s *scene) traffic(gs []*gateway, d time.Duration, hot int) {
	const rate = 40
	var mu sync.Mutex
	var done sync.WaitGroup
	sent, served := make([]int, len(gs)), make([]int, len(gs))
	n := int(d.Seconds() * rate)
	for i := range n {
		time.Sleep(time.Second / rate)
		r := get("/quotes/w100", 2500*time.Millisecond)
		r.key = (i*25737 + 13) % 65536
		if hot >= 0 && float64(i%10) < 10*hotShare {
			r.key = hot
		}
		at := i % len(gs)
		done.Go(func() {
			a := s.call(gs[at], r)
			mu.Lock()
			defer mu.Unlock()
			sent[at]++
			if a.err == nil && a.status == http.StatusOK {
				served[at]++
			}
		})
	}
	done.Wait()
	s.logf("in %v, served of those sent at each instance: %v of %v", d, served, sent)
}
