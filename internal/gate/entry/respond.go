package entry

import (
	"net/http"
	"strconv"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/logs"
	"dandelionrock.example/dandelionrock/internal/gate/meter"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/schema"
)

// respond writes the response to the client, counts it and logs it.
func (q *request) respond(w http.ResponseWriter) {
	took := clock.Boot().Sub(q.begin)
	if a := q.reply; a != nil {
		h := w.Header()
		header.Copy(h, a.Headers, false)
		if h["Content-Type"] == nil {
			h["Content-Type"] = nil
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(int(a.Status))
		_, err := w.Write(a.Body)
		q.logAnswer(a, took, err)
		return
	}
	q.count(q.reason, took)
	q.entry.Log.Info().Str("event", "request-failed").Str("request", q.attempt).Str("route", q.route.Name).Str("service", q.service.Name).
		Int("status", q.status).Str("reason", q.reason).Dur("took", took).Dur("behind", q.queued).Int("sent", q.sent).Int("unsent", q.unsent).Bool("ran", q.ran).
		Dur("retry-after", q.retryAfter).Uint64("config", q.config).Uint32("key", q.key).Str("target", q.target).Str("home", q.home).
		Dur("objective", q.objective.Sub(q.begin)).Bool("returned", q.returned).Dur("store-age", q.entry.Age()).Msg("")
	respond(w, q.status, q.attempt, q.reason, q.retryAfter)
}

// count counts the request in the metrics.
func (q *request) count(outcome string, took time.Duration) {
	q.entry.Meter.Request(q.service.Name, outcome, took)
	if q.returned {
		q.entry.Meter.Returned(q.service.Name, outcome)
	}
}

// logAnswer counts a target's response and logs it.
func (q *request) logAnswer(a *schema.SendReply, took time.Duration, err error) {
	outcome, late := meter.Answered, q.begin.Add(took) > q.objective
	if late {
		outcome = meter.Late
	}
	q.count(outcome, took)
	if !late && q.sent+q.unsent == 1 && err == nil && q.message.Call%logs.SampleInterval != 0 {
		return
	}
	q.entry.Log.Info().Str("event", "request-answered").Str("request", q.attempt).Str("route", q.route.Name).Str("service", q.service.Name).
		Str("target", a.Target).Int32("status", a.Status).Dur("took", took).Dur("behind", q.queued).Int("sent", q.sent).Int("unsent", q.unsent).Bool("late", late).
		Uint32("key", q.key).Dur("objective", q.objective.Sub(q.begin)).Bool("returned", q.returned).Err(err).Msg("")
}

// Names of what a request had reached when its connection ended.
const (
	// progressNone means that it had been sent to no home, progressHome that it waited or
	// ran there, and progressReady that its response was complete.
	progressNone  = "not-sent"
	progressHome  = "at-home"
	progressReady = "ready"
)

// progress returns what a request has reached whose response is not complete.
func (q *request) progress() string {
	if q.sentAt == 0 {
		return progressNone
	}
	return progressHome
}

// logCut counts and logs a request whose connection has ended before its response was
// sent. The client has usually closed it, unless this instance is shutting down.
func (q *request) logCut(progress string) {
	e, now := q.entry, clock.Boot()
	e.Meter.Cut(q.service.Name, progress, e.Stop() != nil)
	event, name := e.Log.Debug(), "client-gone"
	if s := e.Stop(); s != nil {
		event, name = e.Log.Warn().Dur("since-signal", now.Sub(s.Begin)), "request-cut"
	}
	event.Str("event", name).Str("request", q.attempt).Str("route", q.route.Name).Str("service", q.service.Name).Str("progress", progress).
		Str("home", q.home).Str("target", q.target).Int("sent", q.sent).Int("unsent", q.unsent).Bool("ran", q.ran).
		Dur("took", now.Sub(q.begin)).Dur("behind", q.queued).Dur("limit", q.end.Sub(q.begin)).Msg("")
}
