package entry

import (
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/hangup"
	"dandelionrock.example/dandelionrock/platform"
)

// reasonMemory states that the requests and responses of a connection take memory that
// others need.
const reasonMemory = "memory-full"

// Memory implements hangup.Bounded.
func (e *Entry) Memory() *depot.Depot { return e.Bodies }

// Evicted implements hangup.Bounded.
func (e *Entry) Evicted(v hangup.Eviction) {
	attempt := ""
	if v.Request != nil {
		attempt = v.Request.Header.Get(platform.HeaderAttempt)
	}
	e.Meter.Evicted(reasonMemory, int64(v.Bytes))
	e.Log.Warn().Str("event", "connection-evicted").Str("reason", reasonMemory).Str("request", attempt).
		Stringer("connection", v.Remote).Int64("bytes", int64(v.Bytes)).Dur("blocked", v.Blocked).Int("owed", v.Owed).Int64("held", e.Bodies.Held()).Msg("")
}
