package router

import (
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// reasonBodyMissing states that the body that was sent ahead of a request has been
	// dropped.
	reasonBodyMissing = "body-missing"
	// reasonMemoryFull states that other requests and responses take the memory.
	reasonMemoryFull     = "memory-full"
	retryAfterMemoryFull = 500 * time.Millisecond
	// fieldSize is about the memory in bytes of a header field beside its name and value.
	fieldSize = 128
)

// Body receives a piece of a body, ahead of its request.
func (g *gate) Body(q *schema.BodyPiece, a *schema.BodyPieceReply) (err error) {
	defer g.n.guard.Recover("body", &err)
	err = g.n.shelf.Put(depot.Key{Entry: q.Entry, Call: q.Call}, depot.Account(q.Account), q.Length, q.Offset, q.Data, time.Duration(q.LeftMs)*time.Millisecond)
	if errors.Is(err, depot.ErrFull) {
		a.Full, err = true, nil
	}
	return err
}

// Preview tells whether a request, whose body has not been sent, would be refused.
func (g *gate) Preview(q *schema.SendRequest, a *schema.SendReply) (err error) {
	defer g.n.guard.Recover("preview", &err)
	if r := g.n.unavailable(); r != "" {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_REFUSED, r
		return nil
	}
	g.n.homes.Preview(q, a)
	return nil
}

// SendStored is like Send for a request whose body was sent ahead.
func (g *gate) SendStored(q *schema.SendStoredRequest, a *schema.SendReply) (err error) {
	defer g.n.guard.Recover("send-stored", &err)
	b, err := g.n.shelf.Take(depot.Key{Entry: q.Request.GetEntry(), Call: q.Request.GetCall()}, q.Length)
	if err != nil {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_REFUSED, reasonBodyMissing
		return nil
	}
	defer func() {
		q.Request.Body = nil
		_ = b.Close()
	}()
	q.Request.Body = b.Bytes()
	return g.send(q.Request, a, 0)
}

// sizeOf returns about the memory in bytes of a request of another instance, apart from its
// body.
func sizeOf(q *schema.SendRequest) int64 {
	n := 2 * len(q.Uri)
	for _, f := range q.Headers {
		n += fieldSize + len(f.Name) + len(f.Value)
	}
	return int64(n)
}

// releaseReply gives the memory of a reply of Send or SendStored back.
func (n *Instance) releaseReply(m proto.Message) {
	if a, ok := m.(*schema.SendReply); ok {
		n.bodies.Hold(-int64(cap(a.Body)))
	}
}

// warnOfBodies logs if the memory is too small for the longest body that the configuration
// permits, when either of them has changed.
func (n *Instance) warnOfBodies() {
	d := n.syncer.View().Desired
	if d == nil {
		return
	}
	longest, memory := depot.MaxBody(d.Limits.MaxBody), n.inForce.Load().Memory
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.warnedOf == [2]int64{longest, memory} {
		return
	}
	n.warnedOf = [2]int64{longest, memory}
	if c := depot.Capacity(memory); longest > c {
		n.log.Warn().Str("event", "bodies-exceed-memory").Int64("max-body-bytes", longest).Int64("admitted-bytes", c).Int64("memory-bytes", memory).
			Uint64("config", d.Version).Msg("longer bodies are refused")
	}
}
