// Package herald tells all other instances what one of them has learned.
package herald

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/guard"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

const (
	// CallTimeout bounds one call to another instance.
	CallTimeout = 300 * time.Millisecond
	// tries and pause are the number of calls to an instance that doesn't answer, and
	// the pause between them.
	tries = 5
	pause = time.Second
)

// Options are the dependencies of a Herald.
type Options struct {
	Self  peer.Instance
	Views interface{ View() *view.View }
	Pool  *relay.Pool
	Log   zerolog.Logger
	Guard *guard.Guard
}

// Herald makes calls to other instances in the background. Use New. It is safe for
// concurrent use.
type Herald struct {
	Options
	context context.Context
	cancel  context.CancelFunc

	// mu guards closed; no goroutine is added to wg after it is set.
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// New returns a Herald.
func New(o Options) *Herald {
	h := &Herald{Options: o}
	h.context, h.cancel = context.WithCancel(context.Background())
	return h
}

// Close ends the calls in progress and waits for them. The error is always nil.
func (h *Herald) Close() error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.wg.Wait()
	return nil
}

// Context returns a context that ends with Close.
func (h *Herald) Context() context.Context { return h.context }

// Run runs f in the background. It returns false if the Herald is closed.
func (h *Herald) Run(f func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.wg.Go(func() { h.Guard.Once("herald", f) })
	}
	return !h.closed
}

// Others returns the other instances, suspected ones as well: they may serve others.
func (h *Herald) Others() []peer.Instance {
	var out []peer.Instance
	for _, i := range h.Views.View().Instances {
		if i.ID != h.Self.ID {
			out = append(out, i)
		}
	}
	return out
}

// Call makes one call that may fail. It reports whether it was answered.
func (h *Herald) Call(i peer.Instance, method string, q, a proto.Message) bool {
	return h.call(i, CallTimeout, method, q, a)
}

// call is Call with a bound.
func (h *Herald) call(i peer.Instance, limit time.Duration, method string, q, a proto.Message) bool {
	c, stop := context.WithTimeout(h.context, limit)
	defer stop()
	err := h.Pool.Call(c, i.RPCAddress, method, q, a)
	if err != nil {
		h.Log.Debug().Str("event", "call-failed").Str("call", method).Str("peer", i.ID).Err(err).Msg("")
	}
	return err == nil
}

// Tell calls a method of all other instances in the background, and again if one doesn't
// answer. message returns the message for a call that is made now.
func (h *Herald) Tell(method string, message func() proto.Message) {
	for _, i := range h.Others() {
		h.Run(func() {
			for range tries {
				if h.Call(i, method, message(), &schema.Empty{}) {
					return
				}
				clock.Sleep(h.context, pause)
			}
		})
	}
}

// Reply is the reply of an instance. Its message is empty if the instance has not answered.
type Reply[M proto.Message] struct {
	From     peer.Instance
	Message  M
	Answered bool
}

// Ask calls a method of instances in the background. The channel gets a reply for each of
// them, within CallTimeout.
func Ask[T any, M interface {
	*T
	proto.Message
}](h *Herald, to []peer.Instance, method string, q proto.Message) <-chan Reply[M] {
	return AskFor[T, M](h, to, CallTimeout, method, q)
}

// AskFor is Ask with another limit than CallTimeout.
func AskFor[T any, M interface {
	*T
	proto.Message
}](h *Herald, to []peer.Instance, limit time.Duration, method string, q proto.Message) <-chan Reply[M] {
	replies := make(chan Reply[M], len(to))
	for _, i := range to {
		r := Reply[M]{From: i, Message: new(T)}
		ran := h.Run(func() {
			// A panic must not leave the caller without a reply.
			defer func() { replies <- r }()
			r.Answered = h.call(i, limit, method, q, r.Message)
		})
		if !ran {
			replies <- r
		}
	}
	return replies
}
