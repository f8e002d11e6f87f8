package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/stand"
)

const (
	// quiet is the number of callers of a quiet client account, flood that of the
	// flooding one, which has 50 times the share.
	quietCallers = 2
	floodCallers = 50 * quietCallers
	// fairSlack is added to the bound of the quiet account's p99, so that the
	// verdict doesn't depend on the load of the machine.
	fairSlack = 150 * time.Millisecond
)

// slowBody gives one byte at a time.
type slowBody struct{ n int }

func (s *slowBody) Read(b []byte) (int, error) {
	if s.n--; s.n < 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Millisecond)
	b[0] = 'x'
	return 1, nil
}

// hostile returns the requests of a client account that means harm: orders,
// slow bodies, wrong or reused order ids, huge keys and unknown services.
func hostile(r *rand.Rand) request {
	q := order(r)
	q.account = "flood"
	switch r.IntN(8) {
	case 0:
		q.body = &slowBody{r.IntN(10)}
	case 1:
		q.order = "reused"
	case 2:
		q.key = string(make([]byte, 2000))
	case 3:
		q.service = "nowhere"
	case 4:
		q.timeout = time.Millisecond
	}
	return q
}

// cancelling sends requests and gives them up.
func cancelling(x context.Context, c *cluster) {
	r := rand.New(rand.NewPCG(uint64(*seedFlag), 99))
	for x.Err() == nil {
		if m := c.pick(r); m != nil {
			y, f := context.WithTimeout(x, time.Duration(r.IntN(10))*time.Millisecond)
			q := order(r)
			q.account = "flood"
			c.send(y, m, q)
			f()
		}
	}
}

// Guards invariant 3 and the separation of client accounts: while one account
// floods at 50 times its share, with slow bodies, cancelled and senseless
// requests, every request of the other is answered, and the p99 of the other
// is at most 1.5 times that without the flood, plus 150 ms.
func TestFlood(t *testing.T) {
	u := stand.UpstreamConfig{ServiceTime: stand.Duration(4 * time.Millisecond)}
	c := newCluster(t, 2, service{name: "orders", settings: "idempotent = false\nshard-count = 8\nrebalance-above = 0", upstreams: 2, upstream: u}).begin()
	defer c.end()
	l := &log{}
	w := steady(c, l, quietCallers)
	w.pass(300)
	w.end()
	base := w.p99()
	f := &load{cluster: c, next: hostile, log: &log{}}
	f.begin(floodCallers)
	x, stop := context.WithCancel(context.Background())
	for range quietCallers {
		f.work.Go(func() { cancelling(x, c) })
	}
	f.pass(200)
	w = steady(c, l, quietCallers)
	w.pass(300)
	w.end()
	stop()
	f.end()
	if p := w.p99(); p > base*3/2+fairSlack {
		t.Errorf("p99 %v with the flood, %v without", p, base)
	}
	if err := l.verdict(); err != nil {
		t.Error(err)
	}
	if f.kinds[header.Answered] == 0 {
		t.Error("nothing of the flood was answered")
	}
	t.Logf("p99 %v without, %v with the flood; quiet %v, flood %v", base, w.p99(), w.kinds, fmt.Sprint(f.kinds))
}
