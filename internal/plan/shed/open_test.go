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

// Guards connections that serve a request, that have just been used or that come from
// elsewhere, against a crowd that opens connections and keeps the instance waiting.
func TestConnectionsOfACrowd(t *testing.T) {
	const (
		maxOpen                  = 128
		crowd, other             = Origin(1), Origin(2)
		serving, idle, elsewhere = ID(1), ID(2), ID(3)
	)
	l, now := New(limit), clock.Time(time.Hour)
	l.SetMaxOpen(maxOpen)
	l.Open(now, serving, crowd)
	l.Serve(serving)
	l.Open(now, idle, crowd)
	l.Open(now, elsewhere, other)
	var b strings.Builder
	for id := ID(10); id < 10+2*maxOpen; id++ {
		now = now.Add(10 * time.Millisecond)
		if id%16 == 0 {
			l.Serve(idle)
			l.Receive(now, idle)
		}
		for _, v := range l.Crowd(now) {
			fmt.Fprintf(&b, "%5v connection %3d, for which %v passed\n", now.Sub(clock.Time(time.Hour)), v.ID, v.Blocked)
			l.Close(v.ID)
		}
		if !l.Open(now, id, crowd) {
			t.Errorf("connection %d finds no place", id)
		}
	}
	for _, id := range []ID{serving, idle, elsewhere} {
		if c := l.conns[id]; c == nil || !c.open {
			t.Errorf("connection %d pays for the crowd", id)
		}
	}
	goldie.New(t).Assert(t, "connections", []byte(b.String()))
}

// Guards the bound on connections for any order of steps, also if those that are chosen
// close late or are spared, and the counts of origins.
func TestConnectionsAreBounded(t *testing.T) {
	const maxOpen = 20
	p := gopter.DefaultTestParameters()
	p.Rng.Seed(1)
	q := gopter.NewProperties(p)
	q.Property("bounded", prop.ForAllNoShrink(func(steps []uint32) bool {
		l, now, next := New(limit), clock.Time(time.Hour), ID(0)
		l.SetMaxOpen(maxOpen)
		open := map[ID]bool{}
		for _, s := range steps {
			now = now.Add(time.Duration(s>>16) * 100 * time.Microsecond)
			id := ID(s>>8%64) + next - min(next, 32)
			switch s & 7 {
			case 0:
				l.Close(id)
				delete(open, id)
			case 1:
				l.Serve(id)
			case 2:
				l.Spare(id)
			default:
				for _, v := range l.Crowd(now) {
					if !open[v.ID] || !l.Waits(v.ID) {
						return false
					}
					if s&8 == 0 {
						l.Close(v.ID)
						delete(open, v.ID)
					}
				}
				next++
				if l.Open(now, next, Origin(s>>4%3)) {
					open[next] = true
				} else if len(open) < maxOpen {
					return false
				}
			}
			if l.open != len(open) || l.open > maxOpen+maxOpen/sparePart {
				return false
			}
		}
		for id := range open {
			l.Close(id)
		}
		return l.open == 0 && l.closing == 0 && len(l.origins) == 0
	}, gen.SliceOfN(200, gen.UInt32())))
	q.TestingRun(t)
}

// Guards a client that sends steadily against one that sends a few bytes now and then, while
// memory is short.
func TestSlowSender(t *testing.T) {
	l, now := New(limit), clock.Time(time.Hour)
	for id := ID(1); id <= 2; id++ {
		l.Open(now, id, 0)
		l.Hold(id, 12*megabyte)
	}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		l.Received(now, 1, 64<<10)
		l.Received(now, 2, 100)
	}
	if v, ok := l.Next(now); !ok || v.ID != 2 {
		t.Errorf("victim %v, %v", v, ok)
	}
	if v, ok := l.Next(now); ok {
		t.Errorf("victim %v", v)
	}
	if !l.Admits(megabyte) || l.Admits(2*megabyte) {
		t.Error("a long request leaves no room for short ones")
	}
}
