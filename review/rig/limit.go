package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/platform/fake"
)

func init() { cases["limit"] = playLimit }

// limitRate is the Server-Limit of the targets in requests per second.
const limitRate = 20

// playLimit checks that targets that name a limit don't get more after clients have taken
// the descriptors of one gateway for some seconds, in which another one was added.
func playLimit(s *scene) (string, error) {
	for i, d := range []string{"a1", "a2", "b1"} {
		t := &fake.Target{ID: fmt.Sprint("limited-", i), Service: "terms", Domain: d, Slots: 4, Queue: 8, ServiceTime: 20 * time.Millisecond}
		if err := s.startTarget(t); err != nil {
			return "", err
		}
		t.SetLimit(limitRate)
	}
	s.putConfiguration()
	if err := s.startGateways("a1"); err != nil {
		return "", err
	}
	crowded := s.gateways[0]
	leave := func() {}
	if s.trouble {
		_, l, err := uploads{descriptors + 100, 100}.gather(s, crowded)
		defer l()
		if err != nil {
			return "", err
		}
		leave = l
	}
	if err := s.startGateways("a1"); err != nil {
		return "", err
	}
	s.note("another machine has been added")
	leave()
	s.note("the clients with bodies have left, if there were any")
	s.ledger.SuspendDrainCheck(6 * time.Second) // of the limit as well
	time.Sleep(3 * time.Second)
	for _, g := range s.gateways {
		s.note("%s: descriptors %d, ready %v, accepts connections of other machines %v", g.id, g.openFiles(), g.ready(), g.hears())
	}
	var answered, refused, failed atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for n := range 80 {
		wg.Go(func() {
			for i := 0; time.Since(begin) < 15*time.Second; i++ {
				switch status, _ := s.gateways[n%2].request("/terms/x", fmt.Sprintf("ordinary-%d-%d", n, i), 2*time.Second); status {
				case 200:
					answered.Add(1)
				case 503, 429:
					refused.Add(1)
					time.Sleep(100 * time.Millisecond)
				default:
					failed.Add(1)
				}
			}
		})
	}
	for range 5 {
		time.Sleep(3 * time.Second)
		for _, t := range s.targets {
			s.note("%s takes %d requests a second and got %d in the last 4 s", t.ID, limitRate, t.Arrivals(time.Now().Add(-4*time.Second)))
		}
	}
	wg.Wait()
	s.note("ordinary requests: %d answered, %d refused, %d failed", answered.Load(), refused.Load(), failed.Load())
	var over []string
	for _, v := range s.ledger.Violations() {
		if strings.Contains(v, "requests per second") {
			over = append(over, v)
		}
	}
	if len(over) > 0 {
		return over[0], nil
	}
	return "", nil
}
