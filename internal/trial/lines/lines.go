// Package lines decodes what instances have logged of requests and keys, as JSON lines, for
// the analysis of a run. docs/OPERATIONS.md describes the lines.
package lines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dandelionrock.example/dandelionrock/internal/gate/logs"
	"dandelionrock.example/dandelionrock/internal/trial/bound"
	"github.com/cockroachdb/errors"
)

// maxLine is the length of the longest line, in bytes.
const maxLine = 1 << 20

// Log is what was read. The zero value is ready for use.
type Log struct {
	// Requests has the requests in the order of the lines, with the route as their kind, no
	// time at work, and arrivals since the Unix epoch.
	Requests []bound.Demand
	// Freed has the times since the Unix epoch.
	Freed []bound.Freed
	// Dropped is the number of lines that instances did not write.
	Dropped int
}

// line has the fields of all lines that are used; times are in milliseconds.
type line struct {
	Event, Service, Route, Reason, How string
	Time, Took, Objective              float64
	StoreAge                           float64 `json:"store-age"`
	From, To, Key, Count, Sent, Unsent int
	Status                             int
	Late, Returned                     bool
	Error                              any
}

// Read adds the lines of r, each with anything before its first brace. Lines without JSON
// are skipped.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		b := s.Bytes()
		i := bytes.IndexByte(b, '{')
		if i < 0 {
			continue
		}
		var n line
		if json.Unmarshal(b[i:], &n) == nil {
			l.add(n)
		}
	}
	return errors.Wrap(s.Err(), "read log")
}

// add adds a line. A request is logged when it ends.
func (l *Log) add(n line) {
	d := bound.Demand{
		At: ms(n.Time - n.Took), Service: n.Service, Kind: n.Route, Key: n.Key,
		Objective: ms(n.Objective), Reason: n.Reason, Stands: 1,
		Returned: n.Returned, Age: ms(n.StoreAge),
	}
	switch n.Event {
	case "request-failed":
		d.Outcome = bound.Refused
	case "request-refused":
		// Others are answers to requests that no configuration serves.
		if n.Status != http.StatusServiceUnavailable {
			return
		}
		d.Outcome = bound.Refused
	case "request-answered":
		if n.Late {
			d.Outcome = bound.Late
		} else if n.Sent+n.Unsent == 1 && n.Error == nil {
			d.Stands = logs.SampleInterval
		}
	case "keys-taken":
		l.Freed = append(l.Freed, bound.Freed{At: ms(n.Time), Service: n.Service, From: n.From, To: n.To, Lost: n.How != "released"})
		return
	case "log-lines-dropped":
		l.Dropped += n.Count
		return
	default:
		return
	}
	l.Requests = append(l.Requests, d)
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
