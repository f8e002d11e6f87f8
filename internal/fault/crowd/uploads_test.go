package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

const (
	// uploadMemory and uploadDescriptors are limits.memory-mb and limits.max-fds of the
	// instances that uploads are played against.
	uploadMemory      = 96
	uploadDescriptors = 2000
	// maxBody is max-body-bytes of the configuration.
	maxBody = 64 << 20
	// uploadPatience is how long these crowds stay; it exceeds the timeout of a route.
	uploadPatience = 6 * time.Second
	// returnDelay is the pause before a client whose connection has ended connects again.
	returnDelay = 20 * time.Millisecond
	// writeTimeout bounds a write of a crowd's client, and answerTimeout the time in which
	// an ordinary request must be answered.
	writeTimeout  = 2 * time.Second
	answerTimeout = 30 * time.Second
)

// upload is a crowd of clients that send requests and don't behave.
type upload struct {
	name    string
	clients int
	// descriptors is limits.max-fds; 0 stands for uploadDescriptors.
	descriptors int
	// send writes one request, and stops short of its end if the client is one that does.
	send func(w *bufio.Writer, client int) error
}

var uploads = []upload{
	{name: "length-short-of-a-byte", clients: 1000, send: byLength(64<<10, 64<<10-1, 64<<10, 0)},
	{name: "length-piece-by-piece", clients: 1000, send: byLength(64<<10, 64<<10-1, 4<<10, 10*time.Millisecond)},
	{name: "length-whole", clients: 1500, send: byLength(60_000, 60_000, 60_000, 0)},
	{name: "length-large", clients: 100, send: byLength(2<<20, 2<<20-1, 64<<10, 0)},
	{name: "chunks-of-8000", clients: 800, send: inChunks(65_000, 8000, 0)},
	{name: "chunks-of-500", clients: 800, send: inChunks(65_000, 500, 0)},
	{name: "chunks-of-1", clients: 200, send: inChunks(20_000, 1, 0)},
	{name: "chunks-of-1MiB", clients: 60, send: inChunks(8<<20, 1<<20, 0)},
	{name: "length-over-the-limit", clients: 100, send: byLength(10<<30, 256<<20, 64<<10, 0)},
	{name: "chunks-over-the-limit", clients: 20, send: inChunks(256<<20, 64<<10, 0)},
	{name: "heads-ahead", clients: 100, send: sendHeads},
	{name: "descriptors", clients: 700, descriptors: 600, send: byLength(100, 99, 100, 0)},
}

// Guards an instance against clients that send bodies and heads without end, or don't
// finish them: it lives, stays within its memory and descriptors, and answers others.
func TestUploads(t *testing.T) {
	bin := build(t)
	machines := []machine{{uploadMemory, uploadDescriptors, 1}}
	if *allFlag {
		machines = append(machines, machine{144, 3075, 2}, machine{284, 4100, 4})
	}
	for _, m := range machines {
		for _, u := range uploads {
			t.Run(fmt.Sprintf("%dMB-%s", m.memory, u.name), func(t *testing.T) { u.play(t, bin, m) })
		}
	}
}

// machine is what an instance runs on, and by how much the crowds for it are larger.
type machine struct{ memory, descriptors, crowd int }

func (u upload) play(t *testing.T, bin string, m machine) {
	u.clients *= m.crowd
	if u.descriptors > 0 {
		m.descriptors = u.descriptors * m.crowd
	}
	s := newScene(t, bin, 1, m.memory, m.descriptors)
	p := s.processes[0]
	s.await(t, func() error { return order(p.ip, 100) })
	leave := u.gather(p.ip)
	defer leave()
	for end := time.Now().Add(uploadPatience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.sample()
	}
	s.await(t, func() error { return order(p.ip, 1000) })
	s.check(t)
}

// Guards a single request inside the limits against a machine whose memory is small.
func TestLongestBody(t *testing.T) {
	bin := build(t)
	for _, memory := range []int{144, 184} {
		t.Run(fmt.Sprint(memory, "MB"), func(t *testing.T) {
			s := newScene(t, bin, 1, memory, uploadDescriptors)
			p := s.processes[0]
			s.await(t, func() error { return order(p.ip, 100) })
			if err := order(p.ip, maxBody); err != nil {
				t.Error("a body as long as permitted:", err)
			}
			s.await(t, func() error { return order(p.ip, 1000) })
			s.check(t)
		})
	}
}

// scene is a deployment that is under test.
type scene struct {
	processes []*process
	memory    int
	// descriptors is the limit of each process.
	descriptors int
}

// newScene starts targets and processes, which end with the test.
func newScene(t *testing.T, bin string, processes, memory, descriptors int) *scene {
	t.Helper()
	store, err := fake.NewStore(network + ".0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	store.Put(platform.TableDesired, platform.KeyDesired, []byte(strings.Replace(string(fake.Configuration(1, "")), `"max-body-bytes":65536`, fmt.Sprint(`"max-body-bytes":`, maxBody), 1)))
	ledger := fake.NewLedger()
	for i := range targets {
		v := &fake.Target{ID: fmt.Sprint("t", i), Service: []string{"orders", "terms"}[i%2], Domain: "a1", Slots: 8, Queue: 8, ServiceTime: 20 * time.Millisecond}
		if err := v.Start(network+".0.2:0", store, ledger); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(v.Kill)
	}
	s := &scene{memory: memory, descriptors: descriptors}
	for i := range processes {
		p := start(t, bin, store, i, memory, descriptors)
		t.Cleanup(p.end)
		s.processes = append(s.processes, p)
	}
	for _, p := range s.processes {
		p.awaitReady(t)
	}
	return s
}

// await repeats a request until it is answered, as clients do.
func (s *scene) await(t *testing.T, request func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = request(); err == nil {
			return
		}
	}
	t.Error("an ordinary request is not answered:", err)
}

// check fails the test if a process has ended or has exceeded a limit.
func (s *scene) check(t *testing.T) {
	t.Helper()
	for _, p := range s.processes {
		resident := p.resident()
		t.Logf("%s: at most %d kB of %d and %d descriptors of %d", p.ip, resident, s.memory<<10, p.descriptors, s.descriptors)
		if resident == 0 || resident > s.memory<<10 {
			t.Errorf("%s ended or exceeded its memory: %d of %d kB", p.ip, resident, s.memory<<10)
		}
		if p.descriptors >= s.descriptors {
			t.Errorf("%s had %d descriptors open, its limit is %d", p.ip, p.descriptors, s.descriptors)
		}
	}
	if t.Failed() {
		t.Logf("last lines of %s: %s", s.processes[0].ip, s.processes[0].tail())
	}
}

// fresh opens a connection for each request.
var fresh = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// attempts counts the attempts of ordinary clients.
var attempts atomic.Int64

// order sends an ordinary order with a body of n bytes and returns an error unless it is
// answered.
func order(ip string, n int) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+net.JoinHostPort(ip, clientPort)+"/orders/x", io.LimitReader(zeros{}, int64(n)))
	if err != nil {
		return err
	}
	q.Host, q.ContentLength = "example", int64(n)
	q.Header.Set(platform.HeaderAttempt, fmt.Sprint("order-", attempts.Add(1)))
	a, err := fresh.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, headers %v: %w", a.StatusCode, a.Header, err)
	}
	return nil
}

// zeros is a reader of zeros without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// gather has the clients of a crowd connect. Each comes again when its connection has
// ended, until the function that is returned is called.
func (u upload) gather(ip string) func() {
	var g sync.WaitGroup
	var mu sync.Mutex
	open, left := map[net.Conn]struct{}{}, false
	enter := func(c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		open[c] = struct{}{}
		return !left
	}
	leave := func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		delete(open, c)
		_ = c.Close()
	}
	stay := func(i int) bool {
		c, err := net.DialTimeout("tcp", net.JoinHostPort(ip, clientPort), writeTimeout)
		if err != nil {
			mu.Lock()
			defer mu.Unlock()
			return !left
		}
		defer leave(c)
		if !enter(c) {
			return false
		}
		w := bufio.NewWriter(patient{c})
		if err := u.send(w, i); err == nil && w.Flush() == nil {
			_, _ = io.Copy(io.Discard, c)
		}
		return true
	}
	for i := range u.clients {
		g.Go(func() {
			for stay(i) {
				time.Sleep(returnDelay)
			}
		})
	}
	return func() {
		mu.Lock()
		left = true
		for c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		g.Wait()
	}
}

// patient is a connection whose writes end in time.
type patient struct{ net.Conn }

func (p patient) Write(b []byte) (int, error) {
	_ = p.SetWriteDeadline(time.Now().Add(writeTimeout))
	return p.Conn.Write(b)
}

// uploadHead begins the head of a request with a body.
func uploadHead(client int) string {
	return fmt.Sprintf("POST /orders/x HTTP/1.1\r\nHost: example\r\n%s: u%d-%d\r\n%s: 5000\r\n", platform.HeaderAttempt, client, attempts.Add(1), platform.HeaderDeadline)
}

// byLength sends a body that is announced to have length bytes, of which sent follow in
// pieces with a pause after each.
func byLength(length, sent, piece int, pause time.Duration) func(*bufio.Writer, int) error {
	return func(w *bufio.Writer, client int) error {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", uploadHead(client), length)
		for left := sent; left > 0; left -= piece {
			if _, err := io.CopyN(w, zeros{}, int64(min(piece, left))); err != nil {
				return err
			}
			if pause > 0 {
				if err := w.Flush(); err != nil {
					return err
				}
				time.Sleep(pause)
			}
		}
		return nil
	}
}

// inChunks sends a body of n bytes in chunks, without the last chunk.
func inChunks(n, size int, pause time.Duration) func(*bufio.Writer, int) error {
	return func(w *bufio.Writer, client int) error {
		fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", uploadHead(client))
		for left := n; left > 0; left -= size {
			k := min(size, left)
			fmt.Fprintf(w, "%x\r\n", k)
			_, _ = io.CopyN(w, zeros{}, int64(k))
			if _, err := w.WriteString("\r\n"); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

const (
	// headsAhead is the number of requests that a client with long heads sends ahead of
	// one another, and headSize the size of each head in bytes; max-header-bytes is 16384.
	headsAhead = 4
	headSize   = 15 << 10
)

// sendHeads sends requests whose heads have many short fields.
func sendHeads(w *bufio.Writer, client int) error {
	for range headsAhead {
		head := len("GET /terms/x HTTP/1.1\r\n")
		fmt.Fprintf(w, "GET /terms/x HTTP/1.1\r\nHost: example\r\n%s: h%d-%d\r\n%s: 5000\r\n", platform.HeaderAttempt, client, attempts.Add(1), platform.HeaderDeadline)
		for i := 0; head < headSize-100; i++ {
			n, err := fmt.Fprintf(w, "x%s:1\r\n", strconv.FormatInt(int64(i), 36))
			if err != nil {
				return err
			}
			head += n
		}
		if _, err := w.WriteString("\r\n"); err != nil {
			return err
		}
	}
	return nil
}
