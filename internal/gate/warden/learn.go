package warden

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/herald"
	"dandelionrock.example/dandelionrock/internal/plan/hazard"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
)

// An instance that has just started would run requests that the others refuse. It asks
// some of them what they know before it runs any.

const (
	// maxTeachers bounds the instances that are asked. If none of them knows more, all
	// have just started.
	maxTeachers = 16
	// learnCheck is the pause between two rounds of questions, and learnLimit the time
	// after which the instance begins without an answer: the others may be gone.
	learnCheck = 100 * time.Millisecond
	learnLimit = time.Second
)

// Learn starts to ask other instances what they know. Await waits for it.
func (w *Warden) Learn() {
	w.learned = make(chan struct{})
	w.Herald.Run(func() {
		defer close(w.learned)
		for begin := clock.Time(0); w.Herald.Context().Err() == nil; clock.Sleep(w.Herald.Context(), learnCheck) {
			others := w.Herald.Others()
			if len(others) == 0 {
				if len(w.Views.View().Instances) > 0 {
					return
				}
				continue
			}
			if begin == 0 {
				begin = clock.Boot()
			}
			if w.askSome(others) || clock.Boot().Sub(begin) > learnLimit {
				return
			}
		}
	})
}

// askSome asks some of the others. It reports whether this instance knows now what is
// known: one that has learned has answered, or all that have answered have just started.
func (w *Warden) askSome(others []peer.Instance) bool {
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(maxTeachers, len(others))]
	replies := herald.Ask[schema.HazardsReply](w.Herald, others, "Gate.Hazards", &schema.Empty{})
	answered := false
	for range others {
		r := <-replies
		answered = answered || r.Answered
		if w.add(r.Message); r.Message.Learned {
			return true
		}
	}
	return answered
}

// Learned reports whether this instance knows what the others know.
func (w *Warden) Learned() bool {
	if w.learned == nil {
		return true
	}
	select {
	case <-w.learned:
		return true
	default:
		return false
	}
}

// Await waits until Learned, or until c ends.
func (w *Warden) Await(c context.Context) {
	if w.learned == nil {
		return
	}
	select {
	case <-w.learned:
	case <-c.Done():
	}
}

// Hazards sets a to what this instance knows.
func (w *Warden) Hazards(a *schema.HazardsReply) {
	a.Bans, a.Learned = w.Export(), w.Learned()
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.table.Suspicions(now) {
		a.Suspicions = append(a.Suspicions, &schema.Suspicion{
			Identity: s.ID[:], Points: int32(s.Points), FirstMs: now.Sub(s.First).Milliseconds(), LastMs: now.Sub(s.Last).Milliseconds(),
		})
	}
}

// add adds what another instance knows.
func (w *Warden) add(a *schema.HazardsReply) {
	w.Import(a.Bans)
	now := clock.Boot()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range a.Suspicions {
		if id, ok := idOf(s.Identity); ok {
			w.table.Learn(now, hazard.Suspicion{ID: id, Points: int(s.Points), First: now.Add(-time.Duration(s.FirstMs) * time.Millisecond), Last: now.Add(-time.Duration(s.LastMs) * time.Millisecond)})
		}
	}
}
