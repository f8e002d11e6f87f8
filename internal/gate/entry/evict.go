package entry

import (
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/hangup"
	"dandelionrock.example/dandelionrock/internal/plan/shed"
	"dandelionrock.example/dandelionrock/platform"
)

// Reasons for which connections are closed.
const (
	// reasonMemory states that the requests and responses of a connection take memory
	// that others need.
	reasonMemory = "memory-full"
	// reasonConnections states that there are too many connections, and that the client
	// has kept the instance waiting.
	reasonConnections = "connections-full"
)

// Memory implements hangup.Bounded.
func (e *Entry) Memory() *depot.Depot { return e.Bodies }

// Evicted implements hangup.Bounded.
func (e *Entry) Evicted(v hangup.Eviction) {
	reason, attempt := reasonMemory, ""
	if v.Cause == shed.Connections {
		reason = reasonConnections
	}
	if v.Request != nil {
		attempt = v.Request.Header.Get(platform.HeaderAttempt)
	}
	e.Meter.Evicted(reason, int64(v.Bytes))
	e.Log.Warn().Str("event", "connection-evicted").Str("reason", reason).Str("request", attempt).
		Stringer("connection", v.Remote).Int64("bytes", int64(v.Bytes)).Dur("blocked", v.Blocked).Int("owed", v.Owed).Int64("held", e.Bodies.Held()).Msg("")
}
