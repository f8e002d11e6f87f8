// Command capacity measures how the costs of the control traffic grow, and prints
// the table of slopes from which docs/CAPACITY.md is computed. Inputs are
// deterministic. Times are processor times of this process, because wall times on
// a shared machine can't be reproduced.
package main

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// repeats is the number of measurements of a point, whose median is used.
	repeats = 5
	// minSample is the shortest processor time of one measurement. Much
	// less would be inaccurate: the kernel accounts processor time in steps of
	// up to a few milliseconds.
	minSample = 100 * time.Millisecond
)

func main() {
	fmt.Println("| series | points | slope | intercept | residual |")
	fmt.Println("|---|---|---|---|---|")
	for _, f := range []func(){measureExchanges, measureDetector, measureDirectory, measureParsing, measureScan, measureGrants, measurePlanning, measureMemory} {
		f()
	}
}

// measureSeries measures y at each x, divides it by scale, and prints the points
// with the line fitted through them. With arguments, the command measures only the
// series whose name contains one of them.
func measureSeries(name string, scale float64, xs []int, y func(x int) float64) {
	if len(os.Args) > 1 && !slices.ContainsFunc(os.Args[1:], func(a string) bool { return strings.Contains(name, a) }) {
		return
	}
	var l []point
	var t []string
	for _, x := range xs {
		p := point{float64(x), y(x) / scale}
		l = append(l, p)
		t = append(t, fmt.Sprintf("%d: %.4g", x, p.y))
	}
	f := fit(l)
	fmt.Printf("| %s | %s | %.4g | %.4g | %.1f%% |\n", name, strings.Join(t, ", "), f.slope, f.intercept, 100*f.residual)
}

type point struct{ x, y float64 }

// line is a straight line. residual is the largest distance of a point from the
// line in y, relative to the largest absolute y.
type line struct{ slope, intercept, residual float64 }

// fit returns the least-squares line through at least two points.
func fit(l []point) line {
	var x, y, xx, xy, top float64
	n := float64(len(l))
	for _, p := range l {
		x, y, xx, xy, top = x+p.x, y+p.y, xx+p.x*p.x, xy+p.x*p.y, max(top, math.Abs(p.y))
	}
	var f line
	f.slope = (n*xy - x*y) / (n*xx - x*x)
	f.intercept = (y - f.slope*x) / n
	for _, p := range l {
		if top > 0 {
			f.residual = max(f.residual, math.Abs(p.y-f.intercept-f.slope*p.x)/top)
		}
	}
	return f
}

func median(f func() float64) float64 {
	l := make([]float64, repeats)
	for i := range l {
		l[i] = f()
	}
	slices.Sort(l)
	return l[repeats/2]
}

// cost returns the processor time of one call of f, in nanoseconds. It includes
// the time of the garbage collector.
func cost(f func()) float64 {
	f()
	return median(func() float64 {
		runtime.GC()
		begin, n := processorTime(), 0
		for k := 1; processorTime()-begin < minSample; k *= 2 {
			for range k {
				f()
			}
			n += k
		}
		return float64(processorTime()-begin) / float64(n)
	})
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // fails for invalid arguments only
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// bytesHeld returns the bytes of heap and stacks that the result of f keeps in use.
func bytesHeld(f func() any) float64 {
	return median(func() float64 {
		begin := memoryInUse()
		x := f()
		end := memoryInUse()
		runtime.KeepAlive(x)
		return end - begin
	})
}

func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// must returns v, or ends the process if err is not nil. Only a fault of this
// command causes an error.
func must[T any](v T, err error) T {
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	return v
}
