package entry

import (
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/hangup"
	"dandelionrock.example/dandelionrock/platform"
)

// reasonUnread states that a client does not read its responses while memory is short.
const reasonUnread = "responses-unread"

// Memory implements hangup.Bounded.
func (e *Entry) Memory() *depot.Depot { return e.Bodies }

// Evicted implements hangup.Bounded.
func (e *Entry) Evicted(v hangup.Eviction) {
	e.Meter.Evicted(v.Bytes)
	e.Log.Warn().Str("event", "connection-evicted").Str("reason", reasonUnread).Str("request", v.Request.Header.Get(platform.HeaderAttempt)).
		Stringer("connection", v.Remote).Int64("bytes", v.Bytes).Dur("blocked", v.Blocked).Int("owed", v.Owed).Int64("held", e.Bodies.Held()).Msg("")
}
