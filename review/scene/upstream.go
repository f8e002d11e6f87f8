package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/platform"
)

const (
	// beat is the interval at which upstreams write to the store.
	beat = 870 * time.Millisecond
	// queue is the number of requests that may wait for a slot of an upstream.
	queue = 8
)

// upstream is a stand-in of an upstream that does what the pages say. It works on a
// request for the milliseconds that the last element of its path names, such as w250.
type upstream struct {
	id, service, zone string
	slots             int
	sharded           bool
	// extra returns an extra answer that is sent when a call arrives, before the right
	// answer, or nil. It is called with the method, the path and the last answer sent on
	// the connection.
	extra func(path string, last []byte) []byte
	// ran is called when a request begins to run.
	ran func(id string, key int)

	s       *scene
	address string
	born    int64

	mu       sync.Mutex
	changed  *sync.Cond
	state    string
	seq      int
	running  int
	waiting  int
	work     map[int]int // running requests by key
	keys     []held
	fences   map[int]int
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
}

// held is a range of keys that an upstream holds.
type held struct {
	from, to, fence int
	until           time.Time
}

// start starts the upstream and registers it in the store.
func (u *upstream) start(s *scene, ip string) *upstream {
	return u.startAt(s, ip+":0")
}

// startAt is like start at an address with a port.
func (u *upstream) startAt(s *scene, address string) *upstream {
	u.s, u.born = s, time.Now().UnixMilli()
	if u.state == "" {
		u.state = "ready"
	}
	u.changed, u.work, u.fences, u.conns = sync.NewCond(&u.mu), map[int]int{}, map[int]int{}, map[net.Conn]bool{}
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.fail("upstream: %v", err)
	}
	u.listener, u.address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	u.register()
	go func() {
		for {
			time.Sleep(beat)
			u.register()
		}
	}()
	return u
}

// crash ends the upstream at once: its connections are reset, and it sends nothing more.
func (u *upstream) crash() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down, u.keys = true, nil
	for c := range u.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// restart starts the upstream again under its id, at its address and in a state. The new
// run knows nothing of before.
func (u *upstream) restart(state string) *upstream {
	n := &upstream{id: u.id, service: u.service, zone: u.zone, slots: u.slots, sharded: u.sharded, state: state, ran: u.ran}
	return n.startAt(u.s, u.address)
}

// drain reports in the store that the upstream is leaving.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.register()
}

func (u *upstream) register() {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return
	}
	u.seq++
	b, _ := json.Marshal(map[string]any{
		"service": u.service, "addr": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": u.state,
		"warmup-left": "0ms", "seq": u.seq, "born": u.born,
	})
	u.mu.Unlock()
	u.s.store.Put(platform.TableTargets, u.id, b)
}

// serve serves the calls of a connection one after the other.
func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	u.mu.Lock()
	u.conns[c] = true
	down := u.down
	u.mu.Unlock()
	if down {
		return
	}
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c)
	}()
	r := bufio.NewReader(c)
	var last []byte
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if u.extra != nil {
			if b := u.extra(q.URL.Path, last); b != nil {
				if _, err := c.Write(b); err != nil {
					return
				}
			}
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		last = u.handle(q, body)
		if _, err := c.Write(last); err != nil {
			return
		}
	}
}

// respond returns an answer in wire format.
func (u *upstream) respond(q *http.Request, status int, body string, header ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id := q.Header.Get("Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	for i := 0; i < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}

// handle handles one call and returns the answer.
func (u *upstream) handle(q *http.Request, body []byte) []byte {
	if x := q.Header.Get("Expect-Instance"); x != "" && x != u.id {
		return u.respond(q, http.StatusMisdirectedRequest, "", "Not-Executed", "1", "Instance-Id", u.id)
	}
	switch q.URL.Path {
	case "/v1/grant":
		return u.grant(q, body)
	case "/v1/release":
		return u.release(q, body)
	case "/healthz":
		return u.respond(q, http.StatusOK, "", "Instance-Id", u.id)
	}
	return u.execute(q, body)
}

// execute runs a request of a client.
func (u *upstream) execute(q *http.Request, body []byte) []byte {
	begin := time.Now()
	end := begin.Add(time.Hour)
	if n, err := strconv.Atoi(q.Header.Get("Deadline-Ms")); err == nil {
		end = begin.Add(time.Duration(n) * time.Millisecond)
	}
	key := -1
	if u.sharded {
		key, _ = strconv.Atoi(q.Header.Get("Shard-Key"))
	}
	if status := u.begin(key, end); status != 0 {
		return u.respond(q, status, "", "Not-Executed", "1")
	}
	id := q.Header.Get("Attempt-Id")
	u.s.logf("upstream %s (%s) begins %s %s, attempt %s, key %d, %d bytes", u.id, u.service, q.Method, q.URL.Path, id, key, len(body))
	if u.ran != nil {
		u.ran(id, key)
	}
	work := 20 * time.Millisecond
	if i := strings.LastIndex(q.URL.Path, "/w"); i >= 0 {
		if n, err := strconv.Atoi(q.URL.Path[i+2:]); err == nil {
			work = time.Duration(n) * time.Millisecond
		}
	}
	status := http.StatusOK
	if time.Now().Add(work).After(end) {
		status, work = http.StatusGatewayTimeout, time.Until(end)
	}
	time.Sleep(work)
	u.mu.Lock()
	u.running--
	u.work[key]--
	load := fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
	u.changed.Broadcast()
	u.mu.Unlock()
	u.s.logf("upstream %s ends attempt %s with %d", u.id, id, status)
	return u.respond(q, status, fmt.Sprintf("%s by %s of %s", id, u.id, u.service), "Upstream-Signature", "sig-"+id, "Upstream-Load", load)
}

// begin waits for a slot. It returns the status if the request is rejected, or else 0.
func (u *upstream) begin(key int, end time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots && u.waiting >= queue {
		return http.StatusServiceUnavailable
	}
	u.waiting++
	for u.running >= u.slots {
		u.changed.Wait()
	}
	u.waiting--
	if time.Now().After(end) {
		return http.StatusServiceUnavailable
	}
	if key >= 0 && !u.holds(key) {
		return http.StatusMisdirectedRequest
	}
	u.running++
	u.work[key]++
	return 0
}

// holds reports whether the upstream holds a key; the caller holds mu.
func (u *upstream) holds(key int) bool {
	for _, h := range u.keys {
		if h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

// workOn returns the number of requests that run on a range of keys; the caller holds mu.
func (u *upstream) workOn(from, to int) int {
	n := 0
	for k, v := range u.work {
		if from <= k && k <= to {
			n += v
		}
	}
	return n
}

// keysCall is the body of a grant or a release.
type keysCall struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Fence int    `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (u *upstream) grant(q *http.Request, body []byte) []byte {
	var k keysCall
	if err := json.Unmarshal(body, &k); err != nil {
		return u.respond(q, http.StatusBadRequest, "")
	}
	d, err := time.ParseDuration(k.Hold)
	if err != nil || !u.sharded {
		return u.respond(q, http.StatusBadRequest, "")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := k.From; i <= k.To; i++ {
		if u.fences[i] > k.Fence {
			return u.respond(q, http.StatusConflict, "")
		}
	}
	for i := k.From; i <= k.To; i++ {
		u.fences[i] = k.Fence
	}
	renewed := false
	for _, h := range u.keys {
		renewed = renewed || h.from == k.From && h.to == k.To && h.fence == k.Fence
	}
	if !renewed {
		u.s.logf("upstream %s takes keys %d to %d with %d", u.id, k.From, k.To, k.Fence)
	}
	u.without(k.From, k.To)
	u.keys = append(u.keys, held{k.From, k.To, k.Fence, time.Now().Add(d)})
	return u.respond(q, http.StatusOK, "")
}

// without removes a range from the keys that the upstream holds; the caller holds mu.
func (u *upstream) without(from, to int) {
	var rest []held
	for _, h := range u.keys {
		if h.to < from || h.from > to {
			rest = append(rest, h)
			continue
		}
		if h.from < from {
			rest = append(rest, held{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			rest = append(rest, held{to + 1, h.to, h.fence, h.until})
		}
	}
	u.keys = rest
}

func (u *upstream) release(q *http.Request, body []byte) []byte {
	var k keysCall
	if err := json.Unmarshal(body, &k); err != nil {
		return u.respond(q, http.StatusBadRequest, "")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.s.logf("upstream %s is asked to release keys %d to %d, work on them: %d", u.id, k.From, k.To, u.workOn(k.From, k.To))
	u.without(k.From, k.To)
	for u.workOn(k.From, k.To) > 0 {
		u.changed.Wait()
	}
	u.s.logf("upstream %s answers the release of keys %d to %d", u.id, k.From, k.To)
	return u.respond(q, http.StatusOK, "", "Handover", u.id+"-"+newID())
}
