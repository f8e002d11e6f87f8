package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

func init() { cases["stops"] = playStops }

const (
	// grace and stopGap are the bound grace of fake.Settings and gap_s of roll_term in the
	// site file.
	grace, stopGap = 6 * time.Second, 2 * time.Second
	// orderWork is the work of an order, orderTimeout its route's timeout, and orderLimit
	// the client's time limit.
	orderWork, orderTimeout, orderLimit = 5850 * time.Millisecond, 6 * time.Second, 12 * time.Second
	orders                              = 3
)

// order is an order that a client sends, and its outcome.
type order struct {
	attempt       string
	status        int
	body          string
	sent, settled time.Time
}

// playStops checks that orders in progress get the answers of their target although their
// home and, two seconds later, the machine that took them are stopped as planned.
func playStops(s *scene) (string, error) {
	shape := func(r *http.Request) (time.Duration, int) {
		// The target notices that its caller has gone only when the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		return orderWork, 0
	}
	t := &fake.Target{ID: "book", Service: "orders", Domain: "a2", NonIdempotent: true, Slots: orders, Queue: 8, Shape: shape}
	if err := s.startTarget(t); err != nil {
		return "", err
	}
	s.putConfiguration()
	// The machine in the failure domain of the target is its home.
	if err := s.startGateways("a1", "a2", "b1"); err != nil {
		return "", err
	}
	entry, home := s.gateways[0], s.gateways[1]
	all := make([]*order, orders)
	var wg sync.WaitGroup
	for n := range all {
		o := &order{attempt: fmt.Sprint("order-", n)}
		all[n] = o
		wg.Go(func() { o.send(entry) })
	}
	time.Sleep(100 * time.Millisecond)
	var stopped atomic.Int64 // when the machine that took the orders got SIGTERM
	if s.trouble {
		s.stop(home)
		time.Sleep(stopGap)
		stopped.Store(time.Now().UnixNano())
		s.stop(entry)
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond)
	lost := 0
	for _, o := range all {
		visits := s.ledger.Visits(o.attempt)
		s.note("%s: answered %d %q after %v", o.attempt, o.status, o.body, o.settled.Sub(o.sent).Round(time.Millisecond))
		brokenOff := false
		for _, v := range visits {
			s.note("    at %s from %v on, to %v, finished %v", v.Target, v.Begun.Sub(o.sent).Round(time.Millisecond), v.Ended.Sub(o.sent).Round(time.Millisecond), v.Finished)
			// Not counted are upstreams that are at work in the last sixth of grace.
			brokenOff = brokenOff || !v.Finished && v.Ended.Before(time.Unix(0, stopped.Load()).Add(grace*5/6))
		}
		if o.status != http.StatusOK && brokenOff && o.settled.Sub(o.sent) < orderTimeout {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Sprintf("%d of %d orders were broken off while their upstream was at work, and got an answer of the machine in its place", lost, orders), nil
	}
	for _, o := range all {
		if o.status != http.StatusOK {
			return "", fmt.Errorf("%s got status %d for another reason", o.attempt, o.status)
		}
	}
	return "", nil
}

// send sends an order and waits for its answer.
func (o *order) send(g *gateway) {
	o.sent = time.Now()
	defer func() { o.settled = time.Now() }()
	q, err := http.NewRequest(http.MethodPost, "http://"+g.ip+clientPort+"/orders/long", strings.NewReader("an order"))
	if err != nil {
		o.body = err.Error()
		return
	}
	q.Host = "example"
	q.Header.Set(platform.HeaderAttempt, o.attempt)
	q.Header.Set(platform.HeaderDeadline, fmt.Sprint(orderLimit.Milliseconds()))
	c := http.Client{Transport: fresh.Transport, Timeout: orderLimit}
	a, err := c.Do(q)
	if err != nil {
		o.body = err.Error()
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	o.status, o.body = a.StatusCode, string(b)
	if err != nil {
		o.status, o.body = 0, err.Error()
	}
}

// stop sends SIGTERM to a gateway and SIGKILL after grace, as the platform does.
func (s *scene) stop(g *gateway) {
	s.note("SIGTERM for %s", g.id)
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	ended := g.ended
	go func() {
		select {
		case <-ended:
		case <-time.After(grace):
			_ = g.cmd.Process.Kill()
		}
	}()
}
