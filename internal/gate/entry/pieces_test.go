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
				if err := e.callHome(t.Context(), realm.Reached(peer.Instance{ID: name, RPCAddress: l.Addr().String()}), 1, m, &schema.SendReply{}); err != nil || len(m.Body) != length {
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
