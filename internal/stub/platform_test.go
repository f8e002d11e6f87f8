package stub

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/table"
)

// startPlatform starts a platform with a client of its table.
func startPlatform(t *testing.T, c PlatformConfig) (*Platform, *table.Dynamo) {
	t.Helper()
	c.Address = "127.0.0.1:0"
	p, err := NewPlatform(c)
	if err != nil {
		t.Fatal(err)
	}
	d, err := table.NewDynamo(table.DynamoConfig{URL: p.URL(), Table: "dandelionrock", Timeout: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Close()
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p, d
}

// newPuts returns a transaction that puts each key over its current version, with the
// key as the value.
func newPuts(t *testing.T, s table.Store, keys ...table.Key) table.Txn {
	t.Helper()
	l, err := s.Read(t.Context(), keys...)
	if err != nil {
		t.Fatal(err)
	}
	x := table.Txn{ID: table.NewTxnID()}
	for _, r := range l {
		x.Puts = append(x.Puts, r.Put([]byte(r.Key)))
	}
	return x
}

// Guards against a stand-in whose protocol differs from that of the table client in
// rows, versions, conditions, prefixes or pages.
func TestProtocol(t *testing.T) {
	_, d := startPlatform(t, PlatformConfig{PageItems: 3})
	c := t.Context()
	for i := range 8 {
		if err := d.Commit(c, newPuts(t, d, table.Key(fmt.Sprintf("home/%d", i)), table.Key(fmt.Sprintf("x/%d", i)))); err != nil {
			t.Fatal(err)
		}
	}
	for _, x := range []struct {
		prefix table.Key
		want   int
	}{{"home/", 8}, {"home/3", 1}, {"", 16}, {"y", 0}} {
		if l, err := d.Scan(c, x.prefix); err != nil || len(l) != x.want {
			t.Errorf("Scan(%q): %d rows, %v, want %d", x.prefix, len(l), err, x.want)
		}
		if m, err := d.Versions(c, x.prefix); err != nil || len(m) != x.want || x.want > 0 && m["home/3"] != 1 {
			t.Errorf("Versions(%q): %v, %v, want %d rows", x.prefix, m, err, x.want)
		}
	}
	for i := range 10 {
		x := newPuts(t, d, "home/0")
		x.Checks = []table.Check{{Key: "home/1", Version: 1}, {Key: "absent"}}
		if err := d.Commit(c, x); err != nil {
			t.Fatal(err)
		}
		l, err := d.Read(c, "absent", "home/0")
		if err != nil || !reflect.DeepEqual(l[1:], x.Rows()) || l[0].Version != 0 || l[1].Version != table.Version(i+2) || string(l[1].Value) != "home/0" ||
			len(l[1].Txns) != min(i+2, table.RecentTxns) || l[1].Txns[len(l[1].Txns)-1] != x.ID {
			t.Fatalf("Read: %+v, %v", l, err)
		}
	}
	for _, x := range []table.Check{{Key: "home/1", Version: 2}, {Key: "home/1"}, {Key: "absent", Version: 1}} {
		y := newPuts(t, d, "home/0")
		y.Checks = []table.Check{x}
		if err := d.Commit(c, y); !errors.Is(err, table.ErrConflict) {
			t.Errorf("Commit with check %+v: %v, want ErrConflict", x, err)
		}
	}
}

// Guards against a fault after which Commit returns an error that claims more than
// is known about the write, for example that it failed while it may still take
// effect. Also guards against a wrong result of table.Settle over HTTP.
func TestPlatformFaults(t *testing.T) {
	for _, x := range []struct {
		faults string
		commit error
		// applied tells whether the write takes effect, maybe after Commit has
		// returned.
		applied bool
		settle  error
	}{
		{`{}`, nil, true, nil},
		{`{"outage":true}`, table.ErrAmbiguous, false, table.ErrAmbiguous},
		{`{"throttle":true}`, table.ErrUnavailable, false, table.ErrUnavailable},
		{`{"slow-ms":500}`, table.ErrAmbiguous, true, nil},
		{`{"lose-answers":1}`, table.ErrAmbiguous, true, nil},
		{`{"lose-answers":2,"forget-tokens":true}`, table.ErrAmbiguous, true, nil},
		{`{"lose-requests":1}`, table.ErrAmbiguous, false, nil},
		{`{"late-writes":1,"late-ms":50}`, table.ErrAmbiguous, true, nil},
	} {
		t.Run(x.faults, func(t *testing.T) {
			t.Parallel()
			p, d := startPlatform(t, PlatformConfig{})
			y, z := newPuts(t, d, "a"), newPuts(t, d, "b", "c")
			changeFaults(t, p.URL(), http.MethodPost, x.faults)
			if err := d.Commit(t.Context(), y); !errors.Is(err, x.commit) {
				t.Errorf("Commit: %v, want %v", err, x.commit)
			}
			changeFaults(t, p.URL(), http.MethodDelete, "")
			time.Sleep(250 * time.Millisecond)
			if l, err := d.Read(t.Context(), "a"); err != nil || (l[0].Version == 1) != x.applied {
				t.Errorf("Read: %+v, %v, want write applied: %v", l, err, x.applied)
			}
			changeFaults(t, p.URL(), http.MethodPost, x.faults)
			c, stop := context.WithTimeout(t.Context(), 2*time.Second)
			defer stop()
			time.AfterFunc(400*time.Millisecond, func() {
				if strings.Contains(x.faults, "slow") {
					p.SetFaults(PlatformFaults{})
				}
			})
			if err := table.Settle(c, d, z); !errors.Is(err, x.settle) {
				t.Errorf("Settle: %v, want %v", err, x.settle)
			}
			changeFaults(t, p.URL(), http.MethodDelete, "")
			if l, err := d.Read(t.Context(), "b", "c"); err != nil || x.settle == nil && (l[0].Version != 1 || l[1].Version != 1) {
				t.Errorf("Read: %+v, %v, want each row written once", l, err)
			}
		})
	}
}

// changeFaults sends a request to /faults and expects status 200.
func changeFaults(t *testing.T, url, method, body string) {
	t.Helper()
	r, err := http.NewRequest(method, url+"/faults", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	a, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		t.Fatalf("%s /faults %s: %s", method, body, a.Status)
	}
}
