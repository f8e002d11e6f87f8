package config

import (
	"strconv"
	"time"
)

// unit is a unit of a duration or of a size.
type unit struct {
	name string
	size int64 // in nanoseconds or bytes
}

// Units from the largest to the smallest, the order that formatUnit requires.
var (
	durationUnits = []unit{
		{"h", int64(time.Hour)},
		{"m", int64(time.Minute)},
		{"s", int64(time.Second)},
		{"ms", int64(time.Millisecond)},
		{"us", int64(time.Microsecond)},
	}
	sizeUnits = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
)

// String returns the size in the format of a configuration text.
func (b Bytes) String() string { return formatUnit(int64(b), sizeUnits) }

// formatDuration returns d, rounded down to a microsecond, in the format of a
// configuration text.
func formatDuration(d time.Duration) string { return formatUnit(int64(d), durationUnits) }

// formatUnit returns n in the largest unit of which it is a multiple. Zero is
// written in the middle unit.
func formatUnit(n int64, units []unit) string {
	for _, u := range units {
		if n != 0 && n%u.size == 0 {
			return strconv.FormatInt(n/u.size, 10) + u.name
		}
	}
	u := units[len(units)-1]
	if n == 0 {
		u = units[len(units)/2]
	}
	return strconv.FormatInt(n/u.size, 10) + u.name
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func formatCount(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
