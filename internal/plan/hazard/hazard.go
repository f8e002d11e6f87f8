// Package hazard finds requests that crash the targets that run them, and decides for how
// long they are refused. It performs no I/O; the caller passes the time.
//
// A target that crashes takes other requests with it, and targets crash for other reasons.
// So a request is banned only after several crashes, of which one that hit it alone counts
// more, and only if no target has answered it since the first of them.
package hazard

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

const (
	// banPoints is the number of points from which a request is accused. A crash counts
	// alonePoints for a request that ran alone at the target, and besidePoints for each
	// of several.
	banPoints    = 3
	alonePoints  = 2
	besidePoints = 1
	// sameMoment is the time within which crashes count as one: targets of a failure
	// domain that is lost crash together.
	sameMoment = 25 * time.Millisecond
	// recordTime is how long crashes are remembered after the last one of a request.
	recordTime = 2 * time.Minute
	// firstBan is the length of a request's first ban. Each further one is twice as
	// long, up to maxBan.
	firstBan = time.Minute
	maxBan   = time.Hour
	// maxRecords, maxBans and maxAnswered bound the memory.
	maxRecords  = 1024
	maxBans     = 256
	maxAnswered = 2048
	// maxRuns is the number of crashed runs that are remembered for each request, to
	// recognise repeated reports.
	maxRuns = 8
)

// Run identifies one run of a target.
type Run struct {
	Target string
	Born   int64
}

// Ban is the refusal of a request.
type Ban struct {
	ID ID
	// Until is the end of the ban, and Length how long it was in all.
	Until  clock.Time
	Length time.Duration
}

// record holds the crashes of targets that ran a request.
type record struct {
	points      int
	first, last clock.Time
	// moment is when the latest crash that counts as a new one was seen, and latest the
	// points for it and those at the same moment.
	moment clock.Time
	latest int
	// runs holds the last runs that crashed, up to maxRuns.
	runs []Run
}

// answer is the last answer of a target to a request.
type answer struct {
	at clock.Time
	// cleared holds the last runs whose crashes no longer count, up to maxRuns.
	cleared []Run
}

// Table holds what an instance knows of crashes. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	records map[ID]*record
	// bans also holds those that have ended, for as long again as they lasted.
	bans map[ID]Ban
	// answered holds the last answers to requests, in two generations of up to
	// maxAnswered requests, the newer one first.
	answered [2]map[ID]answer
}

// Crash is the crash of a run of a target that ran a request.
type Crash struct {
	Run Run
	// Alone is set if the target ran no other request.
	Alone bool
	// Again is set if the request was sent to the target after another one had crashed
	// under it, so that the two crashes have no other common cause.
	Again bool
}

// Crash records a crash of a target that ran a request. It returns true if the request is
// to be accused, and the time since the first crash that counts.
func (t *Table) Crash(now clock.Time, id ID, c Crash) (time.Duration, bool) {
	if _, banned := t.Banned(now, id); banned {
		// The request was sent before the ban.
		return 0, false
	}
	if slices.Contains(t.Cleared(id), c.Run) {
		// The report was overtaken by the acquittal that covers it.
		return 0, false
	}
	r := t.record(now, id)
	if slices.Contains(r.runs, c.Run) {
		return 0, false
	}
	r.runs = append(r.runs[max(0, len(r.runs)+1-maxRuns):], c.Run)
	points := besidePoints
	if c.Alone {
		points = alonePoints
	}
	if _, again := t.bans[id]; again && r.points == 0 {
		// One crash after a ban is enough.
		points = banPoints
	}
	switch {
	case r.points == 0:
		r.first, r.moment, r.latest = now, now, points
	case now.Sub(r.moment) < sameMoment && !c.Again:
		points, r.latest = max(points-r.latest, 0), max(points, r.latest)
	default:
		r.moment, r.latest = now, points
	}
	r.points += points
	r.last = now
	return now.Sub(r.first), r.points >= banPoints
}

// Accused reports whether the crashes of a request are enough to accuse it.
func (t *Table) Accused(now clock.Time, id ID) bool {
	return t.Suspected(now, id) && t.records[id].points >= banPoints
}

// Suspicion is what is known of the crashes under a request.
type Suspicion struct {
	ID          ID
	Points      int
	First, Last clock.Time
}

// Suspicions returns the requests under which targets have crashed.
func (t *Table) Suspicions(now clock.Time) []Suspicion {
	var out []Suspicion
	for id, r := range t.records {
		if t.Suspected(now, id) {
			out = append(out, Suspicion{id, r.points, r.first, r.last})
		}
	}
	return out
}

// Learn adds what another instance knows, unless more is known here.
func (t *Table) Learn(now clock.Time, s Suspicion) {
	if r := t.record(now, s.ID); r.points < s.Points {
		r.points, r.first, r.last, r.moment, r.latest = s.Points, s.First, s.Last, s.Last, besidePoints
	}
}

// record returns the record of a request, which it creates if needed.
func (t *Table) record(now clock.Time, id ID) *record {
	if t.records == nil {
		t.records = map[ID]*record{}
	}
	r := t.records[id]
	if r != nil && now.Sub(r.last) <= recordTime {
		return r
	}
	if r == nil && len(t.records) >= maxRecords {
		t.discardRecords(now)
	}
	r = &record{}
	t.records[id] = r
	return r
}

// discardRecords removes the records that have expired or, if there are none, the oldest.
func (t *Table) discardRecords(now clock.Time) {
	var oldest ID
	first := clock.Time(0)
	expired := false
	for id, r := range t.records {
		if now.Sub(r.last) > recordTime {
			delete(t.records, id)
			expired = true
		}
		if first == 0 || r.last < first {
			oldest, first = id, r.last
		}
	}
	if !expired {
		delete(t.records, oldest)
	}
}

// Suspected reports whether a target that ran a request has crashed recently and no
// target has answered the request since, as far as this instance knows.
func (t *Table) Suspected(now clock.Time, id ID) bool {
	r := t.records[id]
	return r != nil && r.points > 0 && now.Sub(r.last) <= recordTime
}

// Answered records that a target has answered a request, which clears it of earlier
// crashes and ends its ban. It reports whether there was a ban in force. The earlier
// crashes are those known here and those of the given runs.
func (t *Table) Answered(now clock.Time, id ID, runs ...Run) bool {
	_, banned := t.Banned(now, id)
	cleared := t.Cleared(id)
	if r := t.records[id]; r != nil {
		runs = append(slices.Clone(r.runs), runs...)
	}
	for _, r := range runs {
		if !slices.Contains(cleared, r) {
			cleared = append(slices.Clone(cleared[max(0, len(cleared)+1-maxRuns):]), r)
		}
	}
	delete(t.records, id)
	delete(t.bans, id)
	if t.answered[0] == nil || len(t.answered[0]) >= maxAnswered {
		t.answered = [2]map[ID]answer{make(map[ID]answer), t.answered[0]}
	}
	t.answered[0][id] = answer{now, cleared}
	return banned
}

// lastAnswer returns the last answer to a request; zero if none is known.
func (t *Table) lastAnswer(id ID) answer {
	if a, ok := t.answered[0][id]; ok {
		return a
	}
	return t.answered[1][id]
}

// Cleared returns the runs whose crashes no longer count against a request, since a target
// has answered it.
func (t *Table) Cleared(id ID) []Run { return t.lastAnswer(id).cleared }

// AnsweredAt returns when a target last answered a request; 0 if that is not known.
func (t *Table) AnsweredAt(id ID) clock.Time { return t.lastAnswer(id).at }

// AnsweredSince reports whether a target has answered a request since a time.
func (t *Table) AnsweredSince(since clock.Time, id ID) bool { return t.AnsweredAt(id) > since }

// NextBan returns the ban of a request that is found to crash targets now.
func (t *Table) NextBan(now clock.Time, id ID) Ban {
	d := firstBan
	if b, ok := t.bans[id]; ok {
		d = min(2*b.Length, maxBan)
	}
	return Ban{id, now.Add(d), d}
}

// Ban puts a ban into force, unless a target has answered the request since it began. It
// reports whether it was not known.
func (t *Table) Ban(now clock.Time, b Ban) bool {
	t.expireBans(now)
	old, known := t.bans[b.ID]
	if b.Until <= now || b.Length <= 0 || t.AnsweredSince(b.Until.Add(-b.Length), b.ID) {
		return false
	}
	// Bans that are passed on arrive again, with a little more time left.
	if again := b.Length > old.Length || b.Length == maxBan && b.Until.Sub(old.Until) > maxBan/2; known && !again {
		return false
	}
	b.Length = min(b.Length, maxBan)
	b.Until = min(b.Until, now.Add(b.Length))
	if t.bans == nil {
		t.bans = map[ID]Ban{}
	}
	if !known && len(t.bans) >= maxBans {
		t.discardBan()
	}
	t.bans[b.ID] = b
	delete(t.records, b.ID)
	return true
}

// expireBans removes the bans that ended longer ago than they lasted.
func (t *Table) expireBans(now clock.Time) {
	for id, b := range t.bans {
		if now > b.Until.Add(b.Length) {
			delete(t.bans, id)
		}
	}
}

// discardBan removes the ban that ends first.
func (t *Table) discardBan() {
	var first Ban
	for _, b := range t.bans {
		if first.Until == 0 || b.Until < first.Until {
			first = b
		}
	}
	delete(t.bans, first.ID)
}

// Banned returns the ban of a request, if one is in force.
func (t *Table) Banned(now clock.Time, id ID) (Ban, bool) {
	b, ok := t.bans[id]
	return b, ok && now < b.Until
}

// Bans returns the bans in force.
func (t *Table) Bans(now clock.Time) []Ban {
	var out []Ban
	for _, b := range t.bans {
		if now < b.Until {
			out = append(out, b)
		}
	}
	return out
}
