package entry

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
)

// oldHome is a home of an earlier version: it takes bodies only within their requests.
type oldHome struct{ received atomic.Int64 }

func (h *oldHome) Send(q *schema.SendRequest, a *schema.SendReply) error {
	h.received.Add(int64(len(q.Body)))
	a.Outcome = schema.SendOutcome_SEND_OUTCOME_ANSWERED
	return nil
}

// newHome is a home that takes pieces, and records how many are on their way.
type newHome struct{ running, most, received, stored atomic.Int64 }

func (h *newHome) Body(q *schema.BodyPiece, _ *schema.BodyPieceReply) error {
	for n := h.running.Add(1); ; {
		old := h.most.Load()
		if n <= old || h.most.CompareAndSwap(old, n) {
			break
		}
	}
	defer h.running.Add(-1)
	time.Sleep(time.Millisecond)
	h.received.Add(int64(len(q.Data)))
	return nil
}

func (h *newHome) SendStored(q *schema.SendStoredRequest, a *schema.SendReply) error {
	h.stored.Add(q.Length)
	a.Outcome = schema.SendOutcome_SEND_OUTCOME_ANSWERED
	return nil
}

// Guards against large bodies that together hold up other calls of a link, against a body
// that an instance of an earlier version doesn't get, and against one that is lost for the
// next try.
func TestPieces(t *testing.T) {
	const bodies, length = 4, 2<<20 + 1
	old, recent := &oldHome{}, &newHome{}
	for name, h := range map[string]any{"old": old, "new": recent} {
		s := relay.NewServer(relay.Options{})
		if err := s.RegisterName("Gate", h); err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		e := newEntry(t, true)
		e.Pool = relay.NewPool(relay.Options{})
		var g sync.WaitGroup
		for range bodies {
			g.Go(func() {
				m := &schema.SendRequest{Call: e.calls.Add(1), LeftMs: 5000, Body: bytes.Repeat([]byte("x"), length)}
				if _, err := e.callHome(t.Context(), realm.Reached(peer.Instance{ID: name, RPCAddress: l.Addr().String()}), 1, m, &schema.SendReply{}); err != nil || len(m.Body) != length {
					t.Errorf("%s home: %v, a body of %d bytes is left", name, err, len(m.Body))
				}
			})
		}
		g.Wait()
		_ = e.Pool.Close()
		_ = s.Close()
	}
	if n := recent.most.Load(); n > piecesAhead {
		t.Errorf("%d pieces were on their way at once", n)
	}
	if old.received.Load() != bodies*length || recent.received.Load() != bodies*length || recent.stored.Load() != bodies*length {
		t.Errorf("old home: %d bytes; new home: %d bytes, %d stored", old.received.Load(), recent.received.Load(), recent.stored.Load())
	}
}

// fullHome is a home without room. It counts the bytes of bodies that it gets.
type fullHome struct{ newHome }

func (h *fullHome) Preview(q *schema.SendRequest, a *schema.SendReply) error {
	h.received.Add(int64(len(q.Body)))
	a.Outcome, a.Reason, a.RetryMs = schema.SendOutcome_SEND_OUTCOME_REFUSED, "full", 200
	return nil
}

func (h *fullHome) Send(q *schema.SendRequest, a *schema.SendReply) error {
	h.received.Add(int64(len(q.Body)))
	return h.Preview(q, a)
}

// Uploads come faster than the targets take them. Guards against bodies that are sent to
// one home after the other, each of which has no room for them.
func TestNoBodyToAHomeWithoutRoom(t *testing.T) {
	h, s := &fullHome{}, relay.NewServer(relay.Options{})
	if err := s.RegisterName("Gate", h); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	e := newEntry(t, true)
	e.Pool = relay.NewPool(relay.Options{})
	defer e.Pool.Close()
	for _, length := range []int{minPreviewed, maxWhole + 1} {
		m, a := &schema.SendRequest{Call: e.calls.Add(1), LeftMs: 5000, ObjectiveMs: 5000, Body: make([]byte, length)}, &schema.SendReply{}
		sent, err := e.callHome(t.Context(), realm.Reached(peer.Instance{ID: "full", RPCAddress: l.Addr().String()}), 1, m, a)
		if err != nil || sent || a.Outcome != schema.SendOutcome_SEND_OUTCOME_REFUSED || a.RetryMs != 200 || len(m.Body) != length {
			t.Errorf("a body of %d bytes: %v, %v, %d bytes are left", length, a, err, len(m.Body))
		}
	}
	if n := h.received.Load(); n != 0 {
		t.Errorf("%d bytes were sent to a home without room", n)
	}
}
