package entry

import (
	"context"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

const (
	// minPreviewed is the length in bytes from which a body is sent only after its home
	// has said that it wouldn't refuse the request: it takes longer to send than the
	// question, and crosses each border once.
	minPreviewed = 16 << 10
	// maxWhole is the length in bytes of the longest body that is sent to a home within
	// its request. It takes 0.2 s at 10 Mbit/s.
	maxWhole = 256 << 10
	// pieceSize is the length in bytes of the pieces of a longer body: other calls of the
	// link wait for them, 1 ms each at 1 Gbit/s.
	pieceSize = 128 << 10
	// piecesAhead is the number of pieces that are on their way to a home at once. With a
	// round trip of 80 ms between regions, 64 MiB take five seconds.
	piecesAhead = 8
)

// lanes bounds the pieces of all bodies that are on their way to each instance, by its id.
// The zero value is ready for use.
type lanes struct {
	mu sync.Mutex
	to map[string]chan struct{}
}

// enter waits until a piece may be sent to an instance, or until c ends. The function that
// it returns must be called after the piece was sent.
func (l *lanes) enter(c context.Context, id string) (leave func(), err error) {
	l.mu.Lock()
	n := l.to[id]
	if n == nil {
		if l.to == nil {
			l.to = map[string]chan struct{}{}
		}
		n = make(chan struct{}, piecesAhead)
		l.to[id] = n
	}
	l.mu.Unlock()
	select {
	case n <- struct{}{}:
		return func() { <-n }, nil
	case <-c.Done():
		return nil, c.Err()
	}
}

// callHome calls Gate.Send of another instance. A large body is sent ahead in pieces. It
// reports whether the body, or a part of it, was sent.
func (e *Entry) callHome(c context.Context, h realm.Permitted[peer.Instance], t depot.Account, m *schema.SendRequest, a *schema.SendReply) (sent bool, err error) {
	i := h.Value()
	if refused, err := e.preview(c, i, m, a); refused || err != nil {
		return false, err
	}
	if len(m.Body) <= maxWhole {
		return true, e.Pool.Call(c, i.RPCAddress, "Gate.Send", m, a)
	}
	begin := clock.Boot()
	var unknown rpc.ServerError
	switch err := e.sendPieces(c, h, t, m); {
	case errors.As(err, &unknown):
		// An instance of an earlier version takes a body only within its request.
		return true, e.Pool.Call(c, i.RPCAddress, "Gate.Send", m, a)
	case errors.Is(err, depot.ErrFull):
		e.withdraw(i, m.Call)
		a.Outcome, a.Reason, a.RetryMs = schema.SendOutcome_SEND_OUTCOME_REFUSED, reasonBodiesFull, retryAfterBodiesFull.Milliseconds()
		return true, nil
	case err != nil:
		e.withdraw(i, m.Call)
		return true, errors.Mark(err, relay.ErrNotSent)
	}
	body := m.Body
	m.Body = nil
	defer func() { m.Body = body }()
	deductSince(m, begin)
	return true, e.Pool.Call(c, i.RPCAddress, "Gate.SendStored", &schema.SendStoredRequest{Request: m, Length: int64(len(body))}, a)
}

// preview asks a home whether it would refuse a request with a large body. It reports
// whether a holds its refusal.
func (e *Entry) preview(c context.Context, i peer.Instance, m *schema.SendRequest, a *schema.SendReply) (refused bool, err error) {
	if len(m.Body) < minPreviewed {
		return false, nil
	}
	body, begin := m.Body, clock.Boot()
	m.Body = nil
	err = e.Pool.Call(c, i.RPCAddress, "Gate.Preview", m, a)
	m.Body = body
	deductSince(m, begin)
	var unknown rpc.ServerError
	switch {
	case errors.As(err, &unknown):
		// An instance of an earlier version answers no previews.
		return false, nil
	case err != nil:
		return false, errors.Mark(err, relay.ErrNotSent)
	}
	return a.Outcome == schema.SendOutcome_SEND_OUTCOME_REFUSED, nil
}

// deductSince takes the time since begin off the times that a request has left.
func deductSince(m *schema.SendRequest, begin clock.Time) {
	took := clock.Boot().Sub(begin).Milliseconds()
	m.LeftMs, m.ObjectiveMs = m.LeftMs-took, m.ObjectiveMs-took
}

// sendPieces sends the body of a request to its home. It fails with depot.ErrFull if the
// home has no memory for it.
func (e *Entry) sendPieces(c context.Context, h realm.Permitted[peer.Instance], t depot.Account, m *schema.SendRequest) error {
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var g sync.WaitGroup
	for range piecesAhead {
		g.Go(func() {
			for failed.Load() == nil {
				from := next.Add(pieceSize) - pieceSize
				if from >= int64(len(m.Body)) {
					return
				}
				if err := e.sendPiece(c, h, t, m, from); err != nil {
					failed.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	g.Wait()
	if p := failed.Load(); p != nil {
		return *p
	}
	return nil
}

// sendPiece sends the piece of a body that begins at from.
func (e *Entry) sendPiece(c context.Context, h realm.Permitted[peer.Instance], t depot.Account, m *schema.SendRequest, from int64) error {
	i := h.Value()
	leave, err := e.lanes.enter(c, i.ID)
	if err != nil {
		return err
	}
	defer leave()
	q := &schema.BodyPiece{Entry: m.Entry, Call: m.Call, Account: uint64(t), Length: int64(len(m.Body)), Offset: from, Data: m.Body[from:min(from+pieceSize, int64(len(m.Body)))]}
	if end, ok := c.Deadline(); ok {
		q.LeftMs = time.Until(end).Milliseconds()
	}
	a := &schema.BodyPieceReply{}
	if err := e.Pool.Call(c, i.RPCAddress, "Gate.Body", q, a); err != nil {
		return err
	}
	if a.Full {
		return depot.ErrFull
	}
	return nil
}
