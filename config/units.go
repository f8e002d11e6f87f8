package config

import (
	"strconv"
	"time"
)

// unit is a unit with its size in nanoseconds or bytes.
type unit struct {
	name string
	size int64
}

// The units are ordered from the largest to the smallest.
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

// String returns the size as a configuration text states it.
func (b Bytes) String() string { return formatUnit(int64(b), sizeUnits) }

// formatDuration returns d, rounded down to a microsecond, as a configuration
// text states it.
func formatDuration(d time.Duration) string { return formatUnit(int64(d), durationUnits) }

// formatUnit uses the largest unit of which n is a multiple.
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
