package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

func init() { cases["heads"] = playHeads }

const (
	// headClients is the number of clients with heads of many fields. Each sends headsAhead
	// requests ahead of one another.
	headClients, headsAhead = 300, 4
	// headSize is the size in bytes of each head; max-header-bytes is 16384.
	headSize = 15 << 10
	// longWork is the work of each of these requests.
	longWork = 2 * time.Second
)

// playHeads checks that a gateway stays within the memory of its machine while clients send
// requests ahead whose heads have many short fields.
func playHeads(s *scene) (string, error) {
	shape := func(r *http.Request) (time.Duration, int) {
		if r.URL.Path == "/terms/long" {
			return longWork, 0
		}
		return 20 * time.Millisecond, 0
	}
	for i := range 12 {
		t := &fake.Target{ID: fmt.Sprint("term-", i), Service: "terms", Domain: "a1", Slots: 2, Queue: 8, Shape: shape}
		if err := s.startTarget(t); err != nil {
			return "", err
		}
	}
	s.putConfiguration()
	if err := s.startGateways("a1"); err != nil {
		return "", err
	}
	g := s.gateways[0]
	if status, _ := g.request("/terms/x", "before", time.Second); status != http.StatusOK {
		return "", fmt.Errorf("the first request got status %d", status)
	}
	s.note("highest resident memory of %s so far: %d kB of %d", g.id, g.highest(), memoryMB<<10)
	var sent, received atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range headClients {
		if !s.trouble {
			break
		}
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", g.ip+clientPort, time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(begin.Add(8 * time.Second))
			for k := range headsAhead {
				n, _ := io.WriteString(c, headOf(fmt.Sprintf("head-%d-%d", i, k)))
				sent.Add(int64(n))
			}
			n, _ := io.Copy(io.Discard, c)
			received.Add(n)
		})
	}
	for i := 0; time.Since(begin) < 9*time.Second; i++ {
		status, _ := g.request("/terms/x", fmt.Sprint("ordinary-", i), 2*time.Second)
		s.note("bytes of heads sent %d; resident memory %d kB, at most %d, of %d; an ordinary request got status %d", sent.Load(), g.resident(), g.highest(), memoryMB<<10, status)
		if g.hasEnded() {
			return g.id + " has ended", nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	s.note("clients received %d bytes", received.Load())
	if n := g.highest(); n > memoryMB<<10 {
		return fmt.Sprintf("%s held %d kB of memory, its machine has %d", g.id, n, memoryMB<<10), nil
	}
	return "", nil
}

// headOf returns a request of headSize bytes at most, with as many fields as fit.
func headOf(attempt string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET /terms/long HTTP/1.1\r\nHost: example\r\n%s: %s\r\n%s: 5000\r\n", platform.HeaderAttempt, attempt, platform.HeaderDeadline)
	for i := 0; b.Len() < headSize-16; i++ {
		fmt.Fprintf(&b, "x%s:1\r\n", strconv.FormatInt(int64(i), 36))
	}
	b.WriteString("\r\n")
	return b.String()
}

// highest returns the highest resident memory that the process had, in kilobytes.
func (g *gateway) highest() int { return g.status("VmHWM:") }
