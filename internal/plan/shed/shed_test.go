package shed

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sebdah/goldie/v2"
)

const (
	kilobyte = Bytes(1000)
	megabyte = 1000 * kilobyte
	limit    = 36 * megabyte
)

// Guards clients that read against one that pays for others: a crowd that takes nothing of
// long responses is closed, in the order of bytes and time, and a client that takes its
// own in time and one that holds little are not.
func TestCrowd(t *testing.T) {
	const (
		crowd    = 40
		reader   = ID(crowd + 1)
		ordinary = ID(crowd + 2)
	)
	l := New(limit)
	now := clock.Time(time.Hour)
	l.Hold(reader, 8*megabyte)
	l.Write(now, reader)
	l.Hold(ordinary, 4*kilobyte)
	// Clients of the crowd that are closed connect again.
	writing := map[ID]bool{}
	var b strings.Builder
	for i := range 2 * crowd {
		now = now.Add(5 * time.Millisecond)
		id := ID(1 + i%crowd)
		l.Hold(id, 1500*kilobyte)
		if !writing[id] {
			writing[id] = true
			l.Write(now, id)
		}
		l.Write(now, reader)
		for {
			v, ok := l.Next(now)
			if !ok {
				break
			}
			fmt.Fprintf(&b, "%4v connection %2d: %5d kB, blocked for %v\n", now.Sub(clock.Time(time.Hour)), v.ID, v.Bytes/kilobyte, v.Blocked)
			if v.ID > crowd {
				t.Errorf("connection %d pays for the crowd", v.ID)
			}
			l.Hold(v.ID, -v.Bytes)
			l.Written(v.ID)
			delete(writing, v.ID)
		}
		if l.Full() {
			t.Fatalf("%d bytes are held", l.Total())
		}
	}
	goldie.New(t).Assert(t, "crowd", []byte(b.String()))
}

// Guards the bound for any order of steps: unless others hold the bytes, a ledger is not
// full after Next has named all that it wants closed, none is named while little is held
// or that holds nothing, and nothing is left when all is given back.
func TestLedgerIsBounded(t *testing.T) {
	p := gopter.DefaultTestParameters()
	p.Rng.Seed(1)
	q := gopter.NewProperties(p)
	q.Property("bounded", prop.ForAllNoShrink(func(steps []uint32) bool {
		l, now := New(limit), clock.Time(time.Hour)
		held, closed := map[ID]Bytes{}, map[ID]bool{}
		for _, s := range steps {
			id, n := ID(s%8), Bytes(s>>6%4000)*kilobyte
			now = now.Add(time.Duration(s>>18) * 100 * time.Microsecond)
			switch s >> 3 & 7 {
			case 0, 1, 2, 3:
				l.Hold(id, n)
				held[id] += n
			case 4:
				l.Hold(id, -held[id])
				held[id] = 0
			case 5:
				l.Write(now, id+1)
			case 6:
				l.Written(id + 1)
			case 7:
				if closed[id] {
					l.Hold(id, -held[id])
					l.Written(id)
					held[id], closed[id] = 0, false
				}
			}
			for {
				low := float64(l.total-l.leaving) <= blockedShare*float64(limit)
				v, ok := l.Next(now)
				if !ok {
					break
				}
				if low || v.ID == Others || v.Bytes <= 0 {
					return false
				}
				closed[v.ID] = true
			}
			if l.Full() && held[Others] <= limit {
				return false
			}
		}
		for id, n := range held {
			l.Hold(id, -n)
			l.Written(id + 1)
		}
		return l.total == 0 && l.leaving == 0 && len(l.conns) <= 1
	}, gen.SliceOfN(60, gen.UInt32())))
	q.TestingRun(t)
}

// Guards requests that run ahead of their turn in calm, and against those of connections
// that hold much while others do.
func TestRoom(t *testing.T) {
	l := New(limit)
	l.Hold(1, 14*megabyte)
	if !l.HasRoom(1) {
		t.Error("a connection has no room in calm")
	}
	l.Hold(2, megabyte)
	if l.HasRoom(1) || l.HasRoom(2) || !l.HasRoom(3) {
		t.Error("room doesn't go by what a connection holds")
	}
	l.Hold(Others, limit)
	if l.HasRoom(3) {
		t.Error("there is room beyond the limit")
	}
}
