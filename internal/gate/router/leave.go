package router

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/stop"
)

const (
	// owedInterval is the interval between checks whether responses are owed.
	owedInterval = 20 * time.Millisecond
	// unqueueInterval is the interval between two attempts to have requests refused
	// that wait at other instances.
	unqueueInterval = 200 * time.Millisecond
)

// leave shuts the instance down by a stop.Schedule: it announces the shutdown, and waits
// until no response is owed and clients have received theirs, or the schedule ends.
func (n *Instance) leave() {
	s := stop.New(clock.Boot(), n.inForce.Load().Grace)
	n.log.Info().Str("event", "leaving").Dur("grace", n.inForce.Load().Grace).Int("owed", n.client.Owed()).Int("homes-busy", n.homes.Busy()).Msg("")
	n.schedule.Store(s)
	n.leaving.Store(true)
	n.deregister()
	c, cancel := context.WithTimeout(context.Background(), s.End.Sub(clock.Boot()))
	defer cancel()
	n.group.Go(func() { n.endRequests(c, s) })
	n.awaitOwed(c, s)
	n.log.Info().Str("event", "client-stopping").Dur("since-signal", clock.Boot().Sub(s.Begin)).Int("owed", n.client.Owed()).Int("homes-busy", n.homes.Busy()).Msg("")
	if err := n.client.Shutdown(c); err != nil {
		n.log.Warn().Str("event", "requests-cut").Int("owed", n.client.Owed()).Err(err).Msg("")
		// This ends the requests, each of which gets a line.
		n.logServerEnd("client", n.client.Close())
	}
	// Clients receive their last responses while other instances receive theirs.
	received := make(chan struct{})
	n.group.Go(func() {
		defer close(received)
		if cut := n.client.Linger(c); cut > 0 {
			n.log.Warn().Str("event", "connections-cut").Int("connections", cut).Msg("")
		}
	})
	// The server tells other instances to send no more calls, and closes once
	// the replies to those in progress are written.
	done := make(chan struct{})
	n.group.Go(func() {
		n.logServerEnd("rpc", n.server.Close())
		close(done)
	})
	select {
	case <-done:
	case <-c.Done():
		n.log.Warn().Str("event", "calls-cut").Int("homes-busy", n.homes.Busy()).Err(c.Err()).Msg("")
	}
	<-received
}

// endRequests ends requests in progress by the schedule of a stop, unless c ends before.
// From s.GiveWay on it ends those of this instance's clients that hold up responses. At
// s.CutBy it ends all others, and those of other instances, which can repeat some.
func (n *Instance) endRequests(c context.Context, s *stop.Schedule) {
	clock.Sleep(c, s.GiveWay.Sub(clock.Boot()))
	for c.Err() == nil && clock.Boot() < s.CutBy {
		n.client.EndBlocking()
		clock.Sleep(c, min(owedInterval, s.CutBy.Sub(clock.Boot())))
	}
	if c.Err() == nil {
		n.homes.EndRequests()
		n.entry.EndRequests()
	}
}

// awaitOwed waits until s.OpenUntil, and until no response to a client is owed or c ends.
// The HTTP server is not told to stop before: it would close each connection after the
// response in progress, and lose those that are ready behind it. Requests of other
// instances that wait here are refused at once, as they could outlast the stop; when no
// request may be passed on any more, all that wait in queues are.
func (n *Instance) awaitOwed(c context.Context, s *stop.Schedule) {
	unqueued := s.PassUntil
	for c.Err() == nil && (clock.Boot() < s.OpenUntil || n.client.Owed() > 0) {
		n.homes.RefuseOthers(n.self.ID)
		if now := clock.Boot(); now >= unqueued {
			n.homes.RefuseWaiting()
			n.entry.Unqueue()
			unqueued = now.Add(unqueueInterval)
		}
		clock.Sleep(c, owedInterval)
	}
}
