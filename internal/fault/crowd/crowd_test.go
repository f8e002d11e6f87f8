// Package crowd runs the program as separate processes and checks that clients that don't
// behave end none of them: that don't read their responses, or send without end.
package crowd

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

var allFlag = flag.Bool("crowd.all", false, "play each crowd at each size of memory")

// network is the prefix of the loopback addresses of this process.
var network = fmt.Sprintf("127.%d", 20+os.Getpid()%200)

const (
	instances  = 3
	targets    = 6
	clientPort = "18001"
	// receiveBuffer is the size in bytes of the receive buffers of the crowd.
	receiveBuffer = 8 << 10
	// maxTargetConnections is max-conns in fake.Configuration.
	maxTargetConnections = 50
	// spareDescriptors is for listeners, links between instances, the store and files.
	spareDescriptors = 100
	// patience is how long the crowd stays.
	patience = 4 * time.Second
)

// crowd is a number of clients that send requests ahead of one another.
type crowd struct {
	connections, ahead, size int
	// rate is the number of bytes that each client reads in a second.
	rate int
}

var crowds = []crowd{
	{connections: 60, ahead: 8, size: 400_000},
	{connections: 60, ahead: 8, size: 400_000, rate: 1300},
	{connections: 40, ahead: 4, size: 1_500_000},
	{connections: 40, ahead: 4, size: 1_500_000, rate: 1300},
	{connections: 400, ahead: 8, size: 60_000},
	{connections: 120, ahead: 8, size: 400_000},
	{connections: 150, ahead: 8, size: 400_000, rate: 1300},
	{connections: 100, ahead: 4, size: 1_500_000},
}

// usual is the number of crowds that are played unless all are.
const usual = 4

// Guards an instance against clients that read their responses slowly or not at all: it
// stays within its memory, and serves others.
func TestCrowd(t *testing.T) {
	bin := build(t)
	memories, played := []int{144}, crowds[:usual]
	if *allFlag {
		memories, played = []int{144, 184, 284}, crowds
	}
	for _, m := range memories {
		for _, c := range played {
			t.Run(fmt.Sprintf("%dMB-%dx%dx%d-rate-%d", m, c.connections, c.ahead, c.size, c.rate), func(t *testing.T) { play(t, bin, m, c) })
		}
	}
}

func play(t *testing.T, bin string, memory int, c crowd) {
	s, err := fake.NewStore(network + ".0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Put(platform.TableDesired, platform.KeyDesired, fake.Configuration(1, ""))
	ledger := fake.NewLedger()
	for i := range targets {
		v := &fake.Target{ID: fmt.Sprint("t", i), Service: "terms", Domain: []string{"a1", "a2", "b1"}[i%3], Slots: 8, Queue: 8, Shape: shape}
		if err := v.Start(network+".0.2:0", s, ledger); err != nil {
			t.Fatal(err)
		}
		defer v.Kill()
	}
	var ps []*process
	for i := range instances {
		p := start(t, bin, s, i, memory, 0)
		defer p.end()
		ps = append(ps, p)
	}
	for _, p := range ps {
		p.awaitReady(t)
	}
	if err := request(ps[0].ip); err != nil {
		t.Fatal("before the crowd:", err)
	}
	stop := c.gather(t, ps[0].ip)
	defer stop()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, p := range ps {
			p.sample()
		}
	}
	err = request(ps[0].ip)
	for _, p := range ps {
		resident := p.resident()
		t.Logf("%s: at most %d kB and %d descriptors", p.ip, resident, p.descriptors)
		if resident == 0 || resident > memory<<10 {
			t.Errorf("%s ended or exceeded its memory: %d of %d kB", p.ip, resident, memory<<10)
		}
		if n := c.connections + targets*maxTargetConnections + spareDescriptors; p.descriptors > n {
			t.Errorf("%s had %d descriptors open, more than %d", p.ip, p.descriptors, n)
		}
	}
	if err != nil {
		t.Error("beside the crowd:", err)
	}
	if t.Failed() {
		t.Logf("last lines of %s: %s", ps[0].ip, ps[0].tail())
	}
}

// shape gives the responses to paths that end with a number that many bytes more.
func shape(r *http.Request) (time.Duration, int) {
	n, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	return 20 * time.Millisecond, n
}

// request sends one ordinary request and returns an error unless it is answered.
func request(ip string) error {
	q, err := http.NewRequest(http.MethodGet, "http://"+net.JoinHostPort(ip, clientPort)+"/terms/x", nil)
	if err != nil {
		return err
	}
	q.Host, q.Close = "example", true
	q.Header.Set(platform.HeaderAttempt, "ordinary")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if _, err := io.ReadAll(a.Body); err != nil || a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, headers %v: %w", a.StatusCode, a.Header, err)
	}
	return nil
}

// dialer opens connections with small receive buffers, so that the kernel holds little of
// what is sent.
var dialer = net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, set)
}}

// gather opens the connections of a crowd and sends its requests. The function that it
// returns closes them.
func (c crowd) gather(t *testing.T, ip string) func() {
	t.Helper()
	var g sync.WaitGroup
	var open []net.Conn
	for i := range c.connections {
		n, err := dialer.Dial("tcp", net.JoinHostPort(ip, clientPort))
		if err != nil {
			t.Error("the instance takes no connections:", err)
			break
		}
		open = append(open, n)
		g.Go(func() {
			w := bufio.NewWriter(n)
			for k := range c.ahead {
				fmt.Fprintf(w, "GET /terms/%d HTTP/1.1\r\nHost: example\r\n%s: c%d-%d\r\n\r\n", c.size, platform.HeaderAttempt, i, k)
			}
			err := w.Flush()
			for b := make([]byte, max(c.rate, 1)); err == nil && c.rate > 0; time.Sleep(time.Second) {
				_, err = n.Read(b)
			}
		})
	}
	return func() {
		for _, n := range open {
			_ = n.Close()
		}
		g.Wait()
	}
}
