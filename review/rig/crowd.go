package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["memory"] = playMemory
	cases["descriptors"] = playDescriptors
}

// uploads is a number of clients that each send a request with a body, all but its last
// byte, and then wait.
type uploads struct {
	clients, length int
}

// gather connects the clients to a gateway. Each stays until the gateway closes its
// connection, or until the returned function is called. It fails if this process lacks
// descriptors or ports for them.
func (u uploads) gather(s *scene, g *gateway) (present *atomic.Int64, leave func(), err error) {
	present = &atomic.Int64{}
	var mu sync.Mutex
	var conns []net.Conn
	var refused int
	var wg sync.WaitGroup
	part := strings.Repeat("x", u.length-1)
	send := func(i int) error {
		c, err := net.DialTimeout("tcp", g.ip+clientPort, time.Second)
		if err != nil {
			return err
		}
		mu.Lock()
		conns = append(conns, c)
		mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := fmt.Fprintf(c, "POST /orders/upload HTTP/1.1\r\nHost: example\r\nAttempt-Id: upload-%d\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", i, u.length, part); err != nil {
			return err
		}
		present.Add(1)
		go func() {
			defer present.Add(-1)
			_, _ = c.Read(make([]byte, 1)) // an answer, or the end of the connection
		}()
		return nil
	}
	for w := range senders {
		wg.Go(func() {
			for i := w; i < u.clients; i += senders {
				e := send(i)
				mu.Lock()
				if errors.Is(e, syscall.EMFILE) || errors.Is(e, syscall.EADDRNOTAVAIL) {
					err = e
				}
				if e != nil {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.note("%d clients have sent all but one byte of a body of %d bytes, %d were turned away", present.Load(), u.length, refused)
	return present, func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}, err
}

// senders is the number of clients that connect at the same time.
const senders = 8

// playMemory checks that a gateway stays within the memory of its machine while clients
// send bodies slowly.
func playMemory(s *scene) (string, error) {
	if err := s.setUp("a1"); err != nil {
		return "", err
	}
	g := s.gateways[0]
	if status, _ := g.request("/terms/x", "before", time.Second); status != 200 {
		return "", fmt.Errorf("the first request got status %d", status)
	}
	s.note("resident memory of %s: %d kB of %d", g.id, g.resident(), memoryMB<<10)
	present := &atomic.Int64{}
	if s.trouble {
		p, leave, err := uploads{3600, 64 << 10}.gather(s, g)
		defer leave()
		if err != nil {
			return "", err
		}
		present = p
	}
	highest := 0
	for i := range 20 {
		status, _ := g.request("/terms/x", fmt.Sprint("ordinary-", i), 2*time.Second)
		n := g.resident()
		highest = max(highest, n)
		s.note("uploads in progress %d; resident memory %d kB of %d; an ordinary request got status %d", present.Load(), n, memoryMB<<10, status)
		if g.hasEnded() {
			return g.id + " has ended", nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	if highest > memoryMB<<10 {
		return fmt.Sprintf("%s held %d kB of memory, its machine has %d", g.id, highest, memoryMB<<10), nil
	}
	return "", nil
}

// playDescriptors checks that ordinary callers get answers while other clients send bodies
// slowly.
func playDescriptors(s *scene) (string, error) {
	if err := s.setUp("a1"); err != nil {
		return "", err
	}
	g := s.gateways[0]
	if status, _ := g.request("/terms/x", "before", time.Second); status != 200 {
		return "", fmt.Errorf("the first request got status %d", status)
	}
	present := &atomic.Int64{}
	if s.trouble {
		p, leave, err := uploads{descriptors + 100, 100}.gather(s, g)
		defer leave()
		if err != nil {
			return "", err
		}
		present = p
	}
	// The uploads may take as long as header-timeout and idle-timeout together.
	begin, sent, answered := time.Now(), 0, 0
	for i := 0; time.Since(begin) < 60*time.Second; i++ {
		status, text := g.request("/terms/x", fmt.Sprint("ordinary-", i), 2*time.Second)
		late := time.Since(begin) > 20*time.Second
		if late {
			sent++
			if status != 0 {
				answered++
			}
		}
		s.note("uploads in progress %d; descriptors in use %d of %d; an ordinary request got status %d %.60q; counted %v", present.Load(), g.openFiles(), descriptors, status, text, late)
		if g.hasEnded() {
			return g.id + " has ended", nil
		}
		time.Sleep(time.Second)
	}
	if answered == 0 {
		return fmt.Sprintf("none of %d ordinary requests, sent from 20 s to 60 s after the uploads began, was answered", sent), nil
	}
	return "", nil
}
