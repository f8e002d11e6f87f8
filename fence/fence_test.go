package fence

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

const (
	second = clock.Time(time.Second)
	ttlUs  = 500_000
)

func message(term, sequence uint64, boot string, readingUs int64, shards ...uint32) *schema.GrantRequest {
	m := &schema.GrantRequest{Term: term, Sequence: sequence, BootId: boot, ReadingUs: readingUs, TtlUs: ttlUs}
	for _, s := range shards {
		m.Shards = append(m.Shards, &schema.GrantedShard{Shard: s, Epoch: 3})
	}
	return m
}

func sameAs(sequence uint64, shards ...uint32) *schema.GrantRequest {
	m := message(5, 3, "b", 1_000_000, shards...)
	m.SameAs = sequence
	return m
}

// Guards against a message that is accepted out of order, for another run of
// the upstream or with a clock reading in the future, and against a refused
// message that changes the set. Each case starts from a Guard in term 5 that
// accepted sequence 2 with shard 7 in epoch 3 at one second.
func TestHandle(t *testing.T) {
	long := message(5, 3, "b", 1_000_000, 8)
	long.TtlUs = 2 * MaxTTL.Microseconds()
	for _, c := range []struct {
		name   string
		m      *schema.GrantRequest
		accept bool
		// term and id give the token that must pass Check afterwards; 0 means
		// that none must.
		term, id uint64
	}{
		{"renewal", message(5, 3, "b", 1_000_000, 7), true, 5, 7},
		{"other set", message(5, 3, "b", 1_000_000, 8), true, 5, 8},
		{"duplicate", message(5, 2, "b", 1_000_000, 8), false, 5, 7},
		{"reordered", message(5, 1, "b", 1_000_000, 8), false, 5, 7},
		{"older term", message(4, 9, "b", 1_000_000, 8), false, 5, 7},
		{"older greeting", message(4, 9, "", 0), false, 5, 7},
		{"greeting of the same term", message(5, 3, "", 0), true, 0, 0},
		{"greeting of a higher term", message(6, 1, "", 0), true, 0, 0},
		{"greeting with shards", message(6, 1, "", 0, 7), false, 5, 7},
		{"grant of a term without greeting", message(6, 1, "b", 1_000_000, 8), false, 5, 7},
		{"another boot id", message(5, 3, "a", 1_000_000, 8), false, 5, 7},
		{"reading of the future", message(5, 3, "b", 1_000_001, 8), false, 5, 7},
		{"excessive time to live", long, false, 5, 7},
		{"renewal by reference", sameAs(2), true, 5, 7},
		{"reference to another set", sameAs(1), false, 5, 7},
		{"reference with shards", sameAs(2, 8), false, 5, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := New("b")
			g.Handle(second, message(5, 1, "", 0))
			g.Handle(second, message(5, 2, "b", 1_000_000, 7))
			if a := g.Handle(second, c.m); a.GetAccepted() != c.accept {
				t.Errorf("accepted %v, want %v", a.GetAccepted(), c.accept)
			}
			for _, s := range []uint64{7, 8} {
				k := Token{Term(c.term), shard.ID(s), 3}
				err := g.Check(second, k)
				if good := c.id == s; (err == nil) != good {
					t.Errorf("Check(%+v) = %v, want success %v", k, err, good)
				}
			}
		})
	}
}

// Guards against a request that is executed with a token that does not match
// the grant, or after the grant has expired.
func TestCheck(t *testing.T) {
	g := New("b")
	g.Handle(second, message(5, 1, "", 0))
	g.Handle(second, message(5, 2, "b", 1_000_000, 7))
	end := second.Add(500 * time.Millisecond)
	for _, c := range []struct {
		now  clock.Time
		k    Token
		want error
	}{
		{second, Token{5, 7, 3}, nil},
		{end - 1, Token{5, 7, 3}, nil},
		{end, Token{5, 7, 3}, ErrExpired},
		{second, Token{4, 7, 3}, ErrStale},
		{second, Token{6, 7, 3}, ErrNotGranted},
		{second, Token{5, 7, 2}, ErrStale},
		{second, Token{5, 7, 4}, ErrNotGranted},
		{second, Token{5, 8, 3}, ErrNotGranted},
	} {
		if err := g.Check(c.now, c.k); !errors.Is(err, c.want) {
			t.Errorf("Check(%d, %+v) = %v, want %v", c.now, c.k, err, c.want)
		}
	}
}

// Guards against a renewal that extends the grant from the time of its receipt.
// The message waits while the upstream is paused and is handled after the TTL.
func TestDelayedRenewalHasExpired(t *testing.T) {
	g := New("b")
	g.Handle(second, message(5, 1, "", 0))
	late := second.Add(time.Second)
	if a := g.Handle(late, message(5, 2, "b", 1_000_000, 7)); !a.GetAccepted() || a.GetReadingUs() != 2_000_000 {
		t.Errorf("Handle = %v, want an accepted message with the current clock reading", a)
	}
	if err := g.Check(late, Token{5, 7, 3}); !errors.Is(err, ErrExpired) {
		t.Errorf("Check = %v, want ErrExpired", err)
	}
}

// Guards against a reply that omits the draining flag or the load, and, with
// -race, against data races between the setters and Handle.
func TestStatusInReply(t *testing.T) {
	g := New("b")
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.SetDraining(true)
		g.SetLoad(0.5)
	}()
	g.Handle(second, message(1, 1, "", 0))
	<-done
	a := g.Handle(second, message(1, 2, "", 0))
	if !a.GetDraining() || a.GetLoad() != 0.5 || a.GetBootId() != "b" || a.GetTerm() != 1 || a.GetSequence() != 2 {
		t.Errorf("Handle = %v, want draining, load 0.5, boot id b, term 1 and sequence 2", a)
	}
}
