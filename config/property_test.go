package config

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// properties returns properties that gopter checks with 2000 cases each.
func properties() *gopter.Properties {
	p := gopter.DefaultTestParameters()
	p.MinSuccessfulTests = 2000
	return gopter.NewProperties(p)
}

// Guards against a text that makes the parser panic, and against errors that have no
// fault or whose first fault has no line.
func TestParseNeverPanics(t *testing.T) {
	var texts [][]byte
	for _, f := range []string{"../examples/instance.toml", "testdata/organisation/out-of-range.toml", "testdata/defaults.golden"} {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, b)
	}
	hasLine := func(err error) bool {
		var e *Error
		if err == nil {
			return true
		}
		return errors.As(err, &e) && len(e.Faults) > 0 && e.Faults[0].Line > 0
	}
	check := func(b []byte) bool {
		_, e := Parse("x", b)
		_, f := ParseSettings("x", b)
		return hasLine(e) && hasLine(f)
	}
	p := properties()
	p.Property("any text", prop.ForAll(func(s string) bool { return check([]byte(s)) }, gen.AnyString()))
	p.Property("any changed text", prop.ForAll(func(seed int64) bool {
		return check(mutate(rand.New(rand.NewSource(seed)), texts))
	}, gen.Int64()))
	p.TestingRun(t)
}

// mutate returns one of the texts with parts replaced by parts of other texts.
func mutate(r *rand.Rand, texts [][]byte) []byte {
	b := append([]byte(nil), texts[r.Intn(len(texts))]...)
	for range 1 + r.Intn(4) {
		i := r.Intn(len(b))
		j := min(len(b), i+r.Intn(20))
		o := texts[r.Intn(len(texts))]
		k := r.Intn(len(o))
		l := min(len(o), k+r.Intn(20))
		b = append(append(append([]byte(nil), b[:i]...), o[k:l]...), b[j:]...)
		if len(b) == 0 {
			return nil
		}
	}
	return b
}

// Guards against values that change when they are printed and parsed again.
func TestTextParsesBackTheSame(t *testing.T) {
	p := properties()
	p.Property("round trip", prop.ForAll(func(seed int64) (bool, error) {
		o := organisation(rand.New(rand.NewSource(seed)))
		g, err := Parse("", o.Text())
		if err != nil {
			return false, err
		}
		for _, s := range g.Services {
			s.Line = 0
		}
		return reflect.DeepEqual(o, g), nil
	}, gen.Int64()))
	p.TestingRun(t)
}

// pick returns one of the values at random.
func pick[T any](r *rand.Rand, v ...T) T { return v[r.Intn(len(v))] }

// organisation returns a random valid configuration.
func organisation(r *rand.Rand) *Organisation {
	o := &Organisation{Name: pick(r, "guild", "a", "9-lives", "fil-d-atlas")}
	var names []string
	for i := range 1 + r.Intn(5) {
		s := service(r, i)
		s.DependsOn = subset(r, names)
		names = append(names, s.Name)
		o.Services = append(o.Services, s)
	}
	for i := range r.Intn(4) {
		a := &Account{
			Name: fmt.Sprintf("desk-%d", i), Services: append(subset(r, names[1:]), names[0]),
			Weight: 1 + r.Intn(1000), Rate: pick(r, 0, r.Float64()*1e9, float64(r.Intn(1000))), Concurrency: r.Intn(1e6),
		}
		r.Read(a.CredentialSHA256[:])
		o.Accounts = append(o.Accounts, a)
	}
	return o
}

// service returns a random valid service.
func service(r *rand.Rand, n int) *Service {
	us := func(low, high time.Duration) time.Duration {
		return low + time.Duration(r.Int63n(int64(high-low))).Truncate(pick(r, time.Microsecond, time.Millisecond, time.Second))
	}
	s := &Service{
		Name: fmt.Sprintf("service-%d", n), Idempotent: r.Intn(2) == 0, ShardCount: uint32(1 + r.Intn(4096)),
		MaxTimeout: us(time.Second, 10*time.Minute),
		MaxBody:    Bytes(1 + r.Intn(64<<20)), MaxAnswer: Bytes(1+r.Intn(64)) << 20,
		GrantTTL: us(200*time.Millisecond, time.Minute), EvacuateAfter: us(0, 24*time.Hour),
		RebalanceAbove: pick(r, 0, 1.25, 1.001+r.Float64()),
	}
	s.Timeout = us(time.Millisecond, s.MaxTimeout)
	s.HoldTime = us(time.Minute, 24*time.Hour)
	for i := range 1 + r.Intn(5) {
		u := &Upstream{
			Name: fmt.Sprintf("upstream-%d", i), Region: "hobart", FailureDomain: "hobart-a",
			Address: fmt.Sprintf(pick(r, "10.0.%d.%d:80", "[fd00::%x:%x]:80"), n+1, i+1),
			Slots:   1 + r.Intn(1024), Fencing: pick(r, FencingChecked, FencingNone),
		}
		u.Connections = u.Slots + 1 + r.Intn(1000)
		s.Upstreams = append(s.Upstreams, u)
	}
	return s
}

// subset returns a random subset of names in the same order.
func subset(r *rand.Rand, names []string) []string {
	var s []string
	for _, n := range names {
		if r.Intn(2) == 0 {
			s = append(s, n)
		}
	}
	return s
}
