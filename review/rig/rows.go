package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/platform/fake"
)

func init() { cases["rows"] = playRows }

const (
	// rowBytes is platform.row-bytes of the sample settings.
	rowBytes = 65536
	// desks is the number of upstreams, with ids of deskID.
	desks  = 137
	deskID = "quote-desk-%08x-%04x.%s.hobart.tasmania.tmtg-gateway.platform.menu-translators-guild.example"
	// lookups is the number of requests a second, and lookupWork their work.
	lookups, lookupWork = 600, 80 * time.Millisecond
	// hotKeys adjacent keys get hotShare of the requests, and change each hotTime.
	hotKeys, hotShare, hotTime = 200, 0.4, 2 * time.Second
	// busyShare is the share of the busy keys at the end.
	busyShare = 0.9
	// growTime bounds the time for which the keys change, and downTime is that of the
	// final fault. recoverTime is the bound recover.
	growTime, downTime, recoverTime, judgeTime = 75 * time.Second, 1300 * time.Millisecond, 15 * time.Second, 8 * time.Second
)

// bounded passes calls on to the store, and refuses writes with values that are too long.
type bounded struct {
	next    http.Handler
	longest atomic.Int64
	refused atomic.Int64
}

// ServeHTTP implements http.Handler.
func (b *bounded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(r.Body)
		var t platform.Write
		if err = errors.Join(err, json.Unmarshal(body, &t)); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, p := range t.Put {
			n := int64(len(p.Value))
			b.longest.Store(max(b.longest.Load(), n))
			if n > rowBytes {
				b.refused.Add(1)
				w.Header().Set(platform.HeaderEra, "1")
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	b.next.ServeHTTP(w, r)
}

// boundStore puts a bound on the length of values between the gateways and the store.
func (s *scene) boundStore() (*bounded, error) {
	u, err := url.Parse("http://" + s.store.Address())
	if err != nil {
		return nil, err
	}
	p := httputil.NewSingleHostReverseProxy(u)
	p.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	b := &bounded{next: p}
	l, err := net.Listen("tcp", s.network+".3:18000")
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: b, ReadHeaderTimeout: time.Second}).Serve(l) }()
	return b, nil
}

// traffic is requests for keys of which some are busy.
type traffic struct {
	s          *scene
	from       atomic.Int64
	share      atomic.Uint64 // in thousandths
	sent, good atomic.Int64
	client     *http.Client
	wg         sync.WaitGroup
}

// run sends requests until c ends.
func (t *traffic) run(c context.Context) {
	tick := time.NewTicker(time.Second / lookups)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-c.Done():
			return
		case <-tick.C:
		}
		key := rand.Int64N(platform.MaxKey + 1)
		if rand.Uint64N(1000) < t.share.Load() {
			key = t.from.Load() + rand.Int64N(hotKeys)
		}
		t.wg.Go(func() { t.send(n, key) })
	}
}

func (t *traffic) send(n int, key int64) {
	c, stop := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer stop()
	g := t.s.gateways[n%len(t.s.gateways)]
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+g.ip+clientPort+"/quotes/x", nil)
	if err != nil {
		return
	}
	q.Host = "example"
	q.Header.Set(platform.HeaderAttempt, fmt.Sprint("lookup-", n))
	q.Header.Set(platform.HeaderDeadline, "2500")
	q.Header.Set(platform.HeaderKey, fmt.Sprint(key))
	t.sent.Add(1)
	a, err := t.client.Do(q)
	if err != nil {
		return
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err == nil && a.StatusCode == http.StatusOK {
		t.good.Add(1)
	}
}

// served returns the share of the requests since the last call that were served.
func (t *traffic) served() float64 { return float64(t.good.Swap(0)) / max(float64(t.sent.Swap(0)), 1) }

// playRows checks that a keyed service is served again after all processes were killed,
// while the row with the owners of its keys is about as long as the store permits.
func playRows(s *scene) (string, error) {
	b, err := s.boundStore()
	if err != nil {
		return "", err
	}
	for i := range desks {
		d := []string{"a1", "a2", "b1"}[i%3]
		t := &fake.Target{ID: fmt.Sprintf(deskID, i*7919+1, i, d), Service: "quotes", Domain: d, Keyed: true, Slots: 2, Queue: 8, ServiceTime: lookupWork}
		if err := s.startTarget(t); err != nil {
			return "", err
		}
	}
	s.putConfiguration()
	if err := s.startGateways("a1", "a2", "b1"); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	t := &traffic{s: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300, DisableCompression: true}}}
	c, stop := context.WithCancel(context.Background())
	defer t.wg.Wait()
	defer stop()
	if s.trouble {
		t.share.Store(hotShare * 1000)
	}
	go t.run(c)
	for begin := time.Now(); time.Since(begin) < growTime && b.refused.Load() < 3; time.Sleep(hotTime) {
		if !s.trouble && time.Since(begin) > growTime/3 {
			break
		}
		t.from.Store(rand.Int64N(platform.MaxKey - hotKeys))
		s.note("row: %d bytes of %d; writes refused %d; served %.2f", len(s.store.Value(platform.TableOwn, "keys/quotes")), rowBytes, b.refused.Load(), t.served())
	}
	t.served()
	time.Sleep(4 * time.Second)
	before := t.served()
	s.note("served before the final fault: %.2f; longest row offered %d bytes of %d; writes refused %d", before, b.longest.Load(), rowBytes, b.refused.Load())
	t.from.Store(rand.Int64N(platform.MaxKey - hotKeys))
	t.share.Store(busyShare * 1000)
	if s.trouble {
		for _, g := range s.gateways {
			g.kill()
		}
		s.note("all processes were killed")
		time.Sleep(downTime)
		for _, g := range s.gateways {
			if err := g.start(); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(recoverTime)
	t.served()
	time.Sleep(judgeTime)
	after := t.served()
	s.note("served later than %v after the machines were back: %.2f; row %d bytes; writes refused %d", recoverTime, after, len(s.store.Value(platform.TableOwn, "keys/quotes")), b.refused.Load())
	if before >= 0.25 && after < 0.25 {
		return fmt.Sprintf("of the requests sent later than %v after the machines were back %.2f were served, %.2f before the final fault", recoverTime, after, before), nil
	}
	return "", nil
}
