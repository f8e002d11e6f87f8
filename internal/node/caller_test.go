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

// connectionBroken is the outcome of a request whose connection broke.
const connectionBroken = "broken"

// maxOutcomeDelay is how long after its deadline a caller may learn the outcome.
const maxOutcomeDelay = 2 * time.Second

// maxRepeatDelay is the longest delay before a caller repeats an order. It is long
// enough that some repeats reach the next home.
const maxRepeatDelay = 200 * time.Millisecond

// request is a request of a caller; order is its order id, or empty.
type request struct {
	service, account, key, order string
	attempt                      int
	timeout                      time.Duration
	body                         io.Reader
}

// outcome is the result of a request as its caller sees it. id is the request id,
// via the member that was called.
type outcome struct {
	kind, reason, id string
	status           int
	answer           stub.Answer
	took             time.Duration
	via              *member
	err              error
}

// pickMember returns a random listed member that has loaded the directory, or nil.
func (c *cluster) pickMember(r *rand.Rand) *member {
	l := c.membersWhere(func(m *member) bool { return m.listed && m.node.directoryLoaded.Load() })
	if len(l) == 0 {
		return nil
	}
	return l[r.IntN(len(l))]
}

// send sends a request through a member.
func (c *cluster) send(x context.Context, m *member, q request) outcome {
	x, f := context.WithTimeout(x, q.timeout+2*maxOutcomeDelay)
	defer f()
	r, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+m.node.s.HTTPAddress+"/"+organisation+"/"+q.service+"/x", q.body)
	if err != nil {
		return outcome{kind: connectionBroken, via: m, err: err}
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

// exchange sends a request and reads the response.
func (c *cluster) exchange(r *http.Request) outcome {
	a, err := c.client.Do(r)
	if err != nil {
		return outcome{kind: connectionBroken, err: err}
	}
	defer a.Body.Close()
	o := outcome{kind: a.Header.Get(header.Outcome), reason: a.Header.Get(header.Reason), id: a.Header.Get(header.RequestID), status: a.StatusCode}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return outcome{kind: connectionBroken, err: err}
	}
	if o.kind == header.Answered && o.status == http.StatusOK {
		o.err = json.Unmarshal(b, &o.answer)
	}
	return o
}

// violation describes why the outcome violates the guarantees to callers, or
// returns "". ids holds the request ids of all attempts of the request.
func (o outcome) violation(q request, ids map[string]bool) string {
	own, _, _ := strings.Cut(o.answer.RequestID, ".")
	switch {
	case o.took > q.timeout+maxOutcomeDelay:
		return "outcome after the deadline and the allowed delay"
	case o.kind == connectionBroken && !o.via.killed.Load():
		return "connection to a running instance broke"
	case o.kind != connectionBroken && o.kind != header.Answered && o.kind != header.NotRun && o.kind != header.Unknown:
		return "no valid outcome"
	case o.kind == header.Answered && o.status == http.StatusOK && (o.err != nil || o.answer.Key != q.key || o.answer.OrderID != q.order || !ids[own]):
		return "answer is incomplete or belongs to another request"
	}
	return ""
}

// load is a set of concurrent callers, each of which sends one request after the
// other.
type load struct {
	*cluster
	// next returns the requests of one caller; attempts bounds how often a
	// request with an order id is sent.
	next     func(r *rand.Rand) request
	attempts int
	// alwaysFirstAttempt is a mutation: callers number each attempt as the first.
	alwaysFirstAttempt atomic.Bool
	// check is called with the outcomes of all attempts of a request, if set.
	check func(q request, l []outcome)
	log   *log

	mu    sync.Mutex
	done  atomic.Int64
	took  []time.Duration
	kinds map[string]int
	stop  context.CancelFunc
	work  sync.WaitGroup
}

// begin starts the callers.
func (l *load) begin(callers int) *load {
	x, f := context.WithCancel(context.Background())
	l.stop, l.kinds = f, map[string]int{}
	for i := range callers {
		r := rand.New(rand.NewPCG(uint64(*seedFlag), uint64(i)))
		l.work.Go(func() {
			for x.Err() == nil {
				l.sendUntilAnswered(r, l.next(r))
			}
		})
	}
	return l
}

// sendUntilAnswered sends a request until it is answered or has been sent as often
// as attempts allows, and checks each outcome.
func (l *load) sendUntilAnswered(r *rand.Rand, q request) {
	var all []outcome
	ids, connectionLost := map[string]bool{}, false
	for q.attempt = 1; q.attempt <= max(1, l.attempts); q.attempt++ {
		m := l.pickMember(r)
		if m == nil {
			time.Sleep(time.Millisecond)
			break
		}
		p := q
		if l.alwaysFirstAttempt.Load() {
			p.attempt = 1
		}
		o := l.send(context.Background(), m, p)
		ids[o.id] = true
		connectionLost = connectionLost || o.kind == connectionBroken
		// The request id of an attempt whose connection broke is unknown, so that
		// a later answer may carry an id that is not in ids.
		if w := o.violation(q, ids); w != "" && (!connectionLost || !strings.Contains(w, "answer")) {
			l.log.violate("%s: %+v to %+v", w, o, q)
		}
		all = append(all, o)
		if o.kind == header.Answered || l.attempts < 2 {
			break
		}
		time.Sleep(rand.N(maxRepeatDelay))
	}
	l.record(q, all)
}

// record counts the outcomes of a request and passes them to check.
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

// awaitRequests waits until n more requests have ended.
func (l *load) awaitRequests(n int) {
	n += int(l.done.Load())
	l.await("more requests ended", func() bool { return int(l.done.Load()) >= n })
}

// end stops the callers and waits for them.
func (l *load) end() {
	l.stop()
	l.work.Wait()
}

// p99 returns the 99th percentile of the time that requests took.
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

// log records the steps of a walk and the violations found.
type log struct {
	mu         sync.Mutex
	steps      []string
	violations []string
}

func (l *log) step(f string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps = append(l.steps, fmt.Sprintf(f, a...))
}

func (l *log) violate(f string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf("after %d steps: ", len(l.steps))+fmt.Sprintf(f, a...))
}

// failure returns an error with the first violations and the steps of the walk,
// or nil. Walks report it at the end, because a walk takes seconds and package
// model would repeat it to shorten a failing one.
func (l *log) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) == 0 {
		return nil
	}
	return errors.Newf("%s\nsteps: %s", strings.Join(l.violations[:min(5, len(l.violations))], "\n"), strings.Join(l.steps, "; "))
}

// operation is a named operation of a walk on W; x is its random argument.
type operation[W interface{ step(f string, a ...any) }] struct {
	name string
	do   func(w W, x int)
}

// steps converts operations for package model. Each is logged and followed by a
// call of after.
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
