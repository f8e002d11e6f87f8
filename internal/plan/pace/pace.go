// Package pace finds out how long a target takes for a request, and when requests are to be
// held back from it, from what its responses say. It performs no I/O; the caller passes the
// time.
//
// It answers services whose targets differ in speed and share their machines with others, so
// that work takes a multiple of its usual time for some tenths of a second. The time of a
// request depends on the pace at which it begins: one that begins in a slow spell keeps its
// slot for long after the spell, and one that begins right after the spell ends earlier.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Factor is the time that work takes at a target, as a multiple of that at factor 1.
type Factor float64

const (
	// window is the time within which readings count for the usual factor: a change that
	// lasts is followed within it.
	window = 1500 * time.Millisecond
	// maxReadings bounds the readings that are kept.
	maxReadings = 64
	// usualQuantile is the quantile of the factors within the window that is the usual one.
	// Being low, it ignores spells that are shorter than most of the window.
	usualQuantile = 0.25
	// slowRatio is the ratio to the usual factor from which a target is slow.
	slowRatio = 1.5
	// excessTime is the time over which the ratio to the usual factor is averaged.
	excessTime = 5 * time.Second
	// readingHalfLife is the age at which a reading says half as much about the pace now.
	readingHalfLife = 150 * time.Millisecond
	// workWeight is the weight of a new time in the moving averages.
	workWeight = 0.1
	// firstSpell is the length of a slow spell that is assumed before any has been seen,
	// and firstEnds the number of ends for which this assumption counts.
	firstSpell = 250 * time.Millisecond
	firstEnds  = 2
	// endWeight is the weight of a further end of a spell against the earlier ones.
	endWeight = 0.1
	// maxHold bounds the time for which requests are held back in one spell, and the time
	// that counts between two readings.
	maxHold = time.Second
	// holdGain is the expected reduction of a request's time for each unit of time for which
	// it is held back: the slot stands idle meanwhile, and requests behind it wait.
	holdGain = 1.2
	// firstNotice is the time from the end of a spell to a reading that shows it that is
	// assumed before any has been seen.
	firstNotice = 100 * time.Millisecond
	// lieRatio is the ratio of the errors with and without the stated factors from which
	// these are ignored.
	lieRatio = 1.2
)

// reading is a factor that the target stated.
type reading struct {
	at     clock.Time
	factor Factor
}

// Finder finds out the pace of a run of a target. The zero value knows nothing. It is not
// safe for concurrent use.
type Finder struct {
	// readings are the latest ones in ascending order of time, at most maxReadings.
	readings []reading
	// usual is the usual factor, and excess the mean ratio of the factors to it; both are 0
	// without readings.
	usual  Factor
	excess float64
	// pending is the integral of that ratio over pendingTime, the time in the slow spell
	// that goes on. It counts once the spell has ended.
	pending     float64
	pendingTime time.Duration
	// work is the mean time of a request at factor 1, and plain that whatever the factor;
	// both are 0 until a request has ended.
	work, plain time.Duration
	// workError and plainError are the mean relative errors of the two as estimates.
	workError, plainError float64
	// slowSince is the first reading of the slow spell that goes on, or 0.
	slowSince clock.Time
	// slowTime is the time spent in slow spells and ends the number of their ends, both with
	// less weight the longer ago; their quotient is the mean rest of a spell.
	slowTime time.Duration
	ends     float64
	// notice is the mean time from the end of a spell to a reading that shows it.
	notice time.Duration
}

// State records the factor that the target states. It reports whether the target has become
// slow or is no longer.
func (f *Finder) State(now clock.Time, x Factor) bool {
	last := reading{now, x}
	if n := len(f.readings); n > 0 {
		last = f.readings[n-1]
	} else {
		f.excess, f.slowTime, f.ends, f.notice = 1, firstEnds*firstSpell, firstEnds, firstNotice
	}
	f.readings = append(f.readings, reading{now, x})
	old, _ := slices.BinarySearchFunc(f.readings, now.Add(-window), func(r reading, t clock.Time) int { return cmp.Compare(r.at, t) })
	f.readings = slices.Delete(f.readings, 0, max(old, len(f.readings)-maxReadings))
	before := f.usual
	f.usual = usual(f.readings)
	if f.usual >= slowRatio*before {
		// The target is not in a spell, but slower than before.
		f.pending, f.pendingTime = 0, 0
	}
	gap := min(now.Sub(last.at), maxHold)
	f.pending += float64(x/f.usual) * gap.Seconds()
	f.pendingTime += gap
	changed := f.follow(now, gap, x >= slowRatio*f.usual)
	if !f.Slow() && f.pendingTime > 0 {
		weight := -math.Expm1(-f.pendingTime.Seconds() / excessTime.Seconds())
		f.excess += weight * (f.pending/f.pendingTime.Seconds() - f.excess)
		f.pending, f.pendingTime = 0, 0
	}
	return changed
}

// usual returns the usualQuantile of the factors, by the time for which each held.
func usual(rs []reading) Factor {
	type span struct {
		factor Factor
		time   time.Duration
	}
	var ss []span
	for i, r := range rs[:len(rs)-1] {
		ss = append(ss, span{r.factor, rs[i+1].at.Sub(r.at)})
	}
	slices.SortFunc(ss, func(a, b span) int { return cmp.Compare(a.factor, b.factor) })
	rest := time.Duration(usualQuantile * float64(rs[len(rs)-1].at.Sub(rs[0].at)))
	for _, s := range ss {
		if rest -= s.time; rest < 0 {
			return s.factor
		}
	}
	return rs[len(rs)-1].factor
}

// follow records whether the target is slow, a time after the last reading.
func (f *Finder) follow(now clock.Time, gap time.Duration, slow bool) bool {
	switch {
	case slow == f.Slow():
		if slow {
			f.slowTime += gap
		}
		return false
	case slow:
		f.slowSince = now
	default:
		// The spell ended between the two readings.
		f.slowTime = time.Duration((1 - endWeight) * float64(f.slowTime+gap/2))
		f.ends = (1 - endWeight) * (f.ends + 1)
		f.notice += time.Duration(endWeight * float64(gap/2-f.notice))
		f.slowSince = 0
	}
	return true
}

// Done records that a request that ends now took a time.
func (f *Finder) Done(now clock.Time, took time.Duration) {
	if f.usual == 0 || took <= 0 {
		return
	}
	x := float64(f.factorAt(now.Add(-took)))
	work := time.Duration(float64(took) / x)
	if f.work == 0 {
		f.work, f.plain = work, took
		return
	}
	f.workError += workWeight * (relativeError(float64(f.work)*x, took) - f.workError)
	f.plainError += workWeight * (relativeError(float64(f.plain), took) - f.plainError)
	f.work += time.Duration(workWeight * float64(work-f.work))
	f.plain += time.Duration(workWeight * float64(took-f.plain))
}

func relativeError(estimate float64, took time.Duration) float64 {
	return math.Abs(estimate-float64(took)) / float64(took)
}

// factorAt returns the factor of the reading that is closest to a time.
func (f *Finder) factorAt(t clock.Time) Factor {
	return slices.MinFunc(f.readings, func(a, b reading) int { return cmp.Compare(a.at.Sub(t).Abs(), b.at.Sub(t).Abs()) }).factor
}

// Known reports whether there are estimates.
func (f *Finder) Known() bool { return f.work > 0 }

// Lies reports whether the times of requests don't follow the stated factors.
func (f *Finder) Lies() bool { return f.workError > lieRatio*f.plainError }

// Slow reports whether the target was in a slow spell at the last reading.
func (f *Finder) Slow() bool { return f.slowSince != 0 }

// last returns the last reading.
func (f *Finder) last() reading { return f.readings[len(f.readings)-1] }

// Mean returns the mean time of requests, in slow spells and out of them.
func (f *Finder) Mean() time.Duration {
	if f.Lies() {
		return f.plain
	}
	return time.Duration(float64(f.work) * float64(f.usual) * f.excess)
}

// Expect returns the expected time of a request that begins now.
func (f *Finder) Expect(now clock.Time) time.Duration {
	if f.Lies() {
		return f.plain
	}
	mean := float64(f.usual) * f.excess
	left := math.Exp2(-now.Sub(f.last().at).Seconds() / readingHalfLife.Seconds())
	return time.Duration(float64(f.work) * (mean + (float64(f.last().factor)-mean)*left))
}

// Hold reports whether a request that begins now is expected to end later than one that
// begins when the slow spell is over.
//
// With a mean rest r of spells, the chance that the spell still goes on t after the last
// reading is exp(-t/r). If a request that begins in it takes e longer, waiting reduces the
// expected excess at the rate e/r*exp(-t/r), which pays as long as this is above holdGain.
func (f *Finder) Hold(now clock.Time) bool {
	if !f.Known() || !f.Slow() || f.Lies() || now.Sub(f.slowSince) > maxHold {
		return false
	}
	excess := float64(f.work) * float64(f.last().factor-f.usual)
	rest := float64(f.slowTime)/f.ends + float64(f.notice)
	return float64(now.Sub(f.last().at)) < rest*math.Log(excess/(holdGain*rest))
}
