package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"dandelionrock.example/dandelionrock/internal/header"
)

const (
	orderWorkers  = 16
	orderInterval = 100 * time.Millisecond
	// orderAttempts is the largest number of attempts of an order, with orderPause
	// after each failed one.
	orderAttempts = 4
	orderPause    = 50 * time.Millisecond
	// maxOrders bounds the orders of a run, all of which are kept in memory.
	maxOrders = 100_000
)

// orders sends orders at a steady rate and retries those that are not answered
// with the same order id.
type orders struct {
	balancer *balancer
	seed     uint64
	group    sync.WaitGroup

	mu     sync.Mutex
	list   []order
	wrongs int
}

func newOrders(l *layout, seed uint64) *orders {
	return &orders{balancer: newBalancer(l, seed+1), seed: seed}
}

func (o *orders) start(x context.Context) {
	for w := range orderWorkers {
		o.group.Go(func() { o.run(x, w) })
	}
}

func (o *orders) wait() { o.group.Wait() }

func (o *orders) run(x context.Context, w int) {
	r := rand.New(rand.NewPCG(o.seed, uint64(w)+100))
	t := time.NewTicker(orderInterval)
	defer t.Stop()
	for n := 0; x.Err() == nil && n < maxOrders/orderWorkers; n++ {
		o.send(r, w, n)
		select {
		case <-t.C:
		case <-x.Done():
		}
	}
}

// send sends one order, with retries, and records its outcomes.
func (o *orders) send(r *rand.Rand, w, n int) {
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	p, wrong := order{id: id.String()}, 0
	c := &call{
		method: http.MethodPost, organisation: "bench", service: "orders", credential: "desk-credential",
		path: "/o/" + strconv.Itoa(w) + "-" + strconv.Itoa(n), key: "customer-" + strconv.Itoa(r.IntN(1000)),
		order: p.id, timeout: probeTimeout,
	}
	for c.attempt = 1; c.attempt <= orderAttempts; c.attempt++ {
		x := o.balancer.do(c)
		p.outcomes = append(p.outcomes, x.outcome)
		if x.wrong {
			wrong++
		}
		if x.outcome == header.Answered {
			break
		}
		time.Sleep(orderPause)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, p)
	o.wrongs += wrong
}

// all returns the orders. It may only be called after wait.
func (o *orders) all() []order { return o.list }

func (o *orders) wrong() int { return o.wrongs }
