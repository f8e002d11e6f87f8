package node

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/stub"
)

// broken is the outcome of a request whose connection broke.
const broken = "broken"

// slack is how much later than its deadline a caller may learn the outcome.
const slack = 2 * time.Second

// repeatPause is the longest pause before a caller repeats an order; it is long
// enough for some repeats to reach the next home.
const repeatPause = 200 * time.Millisecond

// request is what a caller sends.
type request struct {
	service, account, key, order string
	attempt                      int
	timeout                      time.Duration
	body                         io.Reader
}

// outcome is what a caller learns about a request.
type outcome struct {
	kind, reason, id string
	status           int
	answer           stub.Answer
	took             time.Duration
	via              *member
	err              error
}

// pick chooses a listed member that has been ready.
func (c *cluster) pick(r *rand.Rand) *member {
	l := c.those(func(m *member) bool { return m.listed && m.node.polled.Load() })
	if len(l) == 0 {
		return nil
	}
	return l[r.IntN(len(l))]
}

// send sends a request through a member.
func (c *cluster) send(x context.Context, m *member, q request) outcome {
	x, f := context.WithTimeout(x, q.timeout+2*slack)
	defer f()
	r, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+m.node.s.HTTPAddress+"/"+organisation+"/"+q.service+"/x", q.body)
	if err != nil {
		return outcome{kind: broken, via: m, err: err}
	}
	r.Header.Set("Authorization", "Bearer "+q.account)
	r.Header.Set(header.Key, q.key)
	r.Header.Set(header.Timeout, q.timeout.String())
	if q.order != "" {
		r.Header.Set(header.OrderID, q.order)
		r.Header.Set(header.Attempt, strconv.Itoa(q.attempt))
	}
	t := time.Now()
	o := c.exchange(r)
	o.via, o.took = m, time.Since(t)
	return o
}

func (c *cluster) exchange(r *http.Request) outcome {
	a, err := c.client.Do(r)
	if err != nil {
		return outcome{kind: broken, err: err}
	}
	defer a.Body.Close()
	o := outcome{kind: a.Header.Get(header.Outcome), reason: a.Header.Get(header.Reason), id: a.Header.Get(header.RequestID), status: a.StatusCode}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return outcome{kind: broken, err: err}
	}
	if o.kind == header.Answered && o.status == http.StatusOK {
		o.err = json.Unmarshal(b, &o.answer)
	}
	return o
}

// wrong returns why an outcome is not one that its caller may get, or "".
// Ids are those of the requests that asked for the same.
func (o outcome) wrong(q request, ids map[string]bool) string {
	own, _, _ := strings.Cut(o.answer.RequestID, ".")
	switch {
	case o.took > q.timeout+slack:
		return "late outcome"
	case o.kind == broken && !o.via.killed.Load():
		return "connection of an instance that runs broke"
	case o.kind != broken && o.kind != header.Answered && o.kind != header.NotRun && o.kind != header.Unknown:
		return "no outcome"
	case o.kind == header.Answered && o.status == http.StatusOK && (o.err != nil || o.answer.Key != q.key || o.answer.OrderID != q.order || !ids[own]):
		return "another caller's or an incomplete answer"
	}
	return ""
}

// load is a number of callers that send requests one after another.
type load struct {
	*cluster
	// next returns the requests of one caller; attempts bounds how often a
	// request with an order id is sent.
	next     func(r *rand.Rand) request
	attempts int
	// restate is a mutation: callers call each attempt the first.
	restate atomic.Bool
	// check is told of all outcomes of one request, if set.
	check func(q request, l []outcome)
	log   *log

	mu    sync.Mutex
	done  atomic.Int64
	took  []time.Duration
	kinds map[string]int
	stop  context.CancelFunc
	work  sync.WaitGroup
}

func (l *load) begin(callers int) *load {
	x, f := context.WithCancel(context.Background())
	l.stop, l.kinds = f, map[string]int{}
	for i := range callers {
		r := rand.New(rand.NewPCG(uint64(*seedFlag), uint64(i)))
		l.work.Go(func() {
			for x.Err() == nil {
				l.one(r, l.next(r))
			}
		})
	}
	return l
}

// one sends a request until it is answered.
func (l *load) one(r *rand.Rand, q request) {
	var all []outcome
	ids, lost := map[string]bool{}, false
	for q.attempt = 1; q.attempt <= max(1, l.attempts); q.attempt++ {
		m := l.pick(r)
		if m == nil {
			time.Sleep(time.Millisecond)
			break
		}
		p := q
		if l.restate.Load() {
			p.attempt = 1
		}
		o := l.send(context.Background(), m, p)
		ids[o.id] = true
		lost = lost || o.kind == broken
		if w := o.wrong(q, ids); w != "" && (!lost || !strings.Contains(w, "answer")) {
			l.log.violate("%s: %+v to %+v", w, o, q)
		}
		all = append(all, o)
		if o.kind == header.Answered || l.attempts < 2 {
			break
		}
		time.Sleep(rand.N(repeatPause))
	}
	l.record(q, all)
}

func (l *load) record(q request, all []outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done.Add(1)
	for _, o := range all {
		l.kinds[strings.TrimSpace(o.kind+" "+o.reason)]++
		l.took = append(l.took, o.took)
	}
	if l.check != nil && len(all) > 0 {
		l.check(q, all)
	}
}

// pass waits until n more requests have ended.
func (l *load) pass(n int) {
	n += int(l.done.Load())
	l.await("requests go on", func() bool { return int(l.done.Load()) >= n })
}

func (l *load) end() {
	l.stop()
	l.work.Wait()
}

// p99 returns the time that 99% of the requests took at most.
func (l *load) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.took)
	if len(l.took) == 0 {
		return 0
	}
	return l.took[len(l.took)*99/100]
}

var (
	seedFlag  = flag.Int64("node.seed", 1, "seed of the walks")
	walksFlag = flag.Int("node.walks", 6, "number of walks for each property")
)

// log collects the steps of a walk and the violations found.
type log struct {
	mu     sync.Mutex
	steps  []string
	faults []string
}

func (l *log) step(f string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps = append(l.steps, fmt.Sprintf(f, a...))
}

func (l *log) violate(f string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf("after %d steps: ", len(l.steps))+fmt.Sprintf(f, a...))
}

// verdict returns the first violations with the steps of the walk. They are
// reported at the end, so that no shortened walk of seconds is tried.
func (l *log) verdict() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) == 0 {
		return nil
	}
	return errors.Newf("%s\nsteps: %s", strings.Join(l.faults[:min(5, len(l.faults))], "\n"), strings.Join(l.steps, "; "))
}

// operation is a step of a walk on a W.
type operation[W interface{ step(f string, a ...any) }] struct {
	name string
	do   func(w W, x int)
}

// steps returns the operations for package model, each followed by after.
func steps[W interface{ step(f string, a ...any) }](after func(w W), l ...operation[W]) []func(w W, x int) error {
	r := make([]func(w W, x int) error, len(l))
	for i, o := range l {
		r[i] = func(w W, x int) error {
			w.step("%s(%d)", o.name, x)
			o.do(w, x)
			after(w)
			return nil
		}
	}
	return r
}
