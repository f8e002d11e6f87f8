package config

import (
	"cmp"
	"encoding/hex"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// kebab matches names in kebab case. A leading digit is permitted, because instance
// ids such as UUIDs may start with one.
var kebab = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// maxNameBytes is the length limit of a DNS label, so that names can be host names.
const maxNameBytes = 63

// bounds holds the default of a value and its inclusive range.
type bounds[T cmp.Ordered] struct{ absent, low, high T }

// checkRange returns v, or the default if the text states no value or an invalid one.
// The argument stated is the value as the text states it, show formats the bounds.
func checkRange[T cmp.Ordered](c *checker, p path, k, stated string, v T, s bounds[T], show func(T) string) T {
	if !c.hasValue(p) {
		return s.absent
	}
	if v < s.low || v > s.high {
		c.fault(p, "%s = %s is out of range, want %s to %s", k, stated, show(s.low), show(s.high))
		return s.absent
	}
	return v
}

// count checks an integer.
func (c *checker) count(p path, k string, v uint32, s bounds[uint32]) uint32 {
	return checkRange(c, p.key(k), k, formatCount(v), v, s, formatCount)
}

// number checks a floating-point number.
func (c *checker) number(p path, k string, v float64, s bounds[float64]) float64 {
	return checkRange(c, p.key(k), k, formatFloat(v), v, s, formatFloat)
}

// duration checks a duration and rounds it down to a microsecond.
func (c *checker) duration(p path, k, text string, s bounds[time.Duration]) time.Duration {
	q := p.key(k)
	if !c.hasValue(q) {
		return s.absent
	}
	n, u := splitUnit(text)
	f, err := strconv.ParseFloat(n, 64)
	i := slices.IndexFunc(durationUnits, func(x unit) bool { return x.name == u })
	if err != nil || i < 0 || u == "" {
		c.fault(q, "%s = %q is not a duration: want a number and a unit of us, ms, s, m or h", k, text)
		return s.absent
	}
	d := time.Duration(min(f*float64(durationUnits[i].size), 1<<62)).Truncate(time.Microsecond)
	return checkRange(c, q, k, strconv.Quote(text), d, s, formatDuration)
}

// size checks a size in bytes. It caps values that overflow, which are out of every
// range.
func (c *checker) size(p path, k, text string, s bounds[Bytes]) Bytes {
	q := p.key(k)
	if !c.hasValue(q) {
		return s.absent
	}
	n, u := splitUnit(text)
	v, err := strconv.ParseInt(n, 10, 64)
	i := slices.IndexFunc(sizeUnits, func(x unit) bool { return x.name == u })
	if err != nil || i < 0 {
		c.fault(q, "%s = %q is not a size: want a whole number and a unit of B, KiB, MiB or GiB", k, text)
		return s.absent
	}
	if v > math.MaxInt64/sizeUnits[i].size {
		v = math.MaxInt64 / sizeUnits[i].size
	}
	return checkRange(c, q, k, strconv.Quote(text), Bytes(v*sizeUnits[i].size), s, Bytes.String)
}

// splitUnit separates the digits and dots at the start of a text from the rest.
func splitUnit(text string) (string, string) {
	i := strings.IndexFunc(text, func(r rune) bool { return r != '.' && (r < '0' || r > '9') })
	if i < 0 {
		return text, ""
	}
	return text[:i], text[i:]
}

// require reports a fault if a key is absent. It returns whether the key has a value
// that can be checked.
func (c *checker) require(p path, k string) bool {
	q := p.key(k)
	if c.lines[q] > 0 {
		return !c.invalid[q]
	}
	if !c.invalid[p] {
		c.missing(p, k+" is missing")
	}
	return false
}

// missing reports a fault of the table at p: something required is absent.
func (c *checker) missing(p path, cause string) {
	c.faults = append(c.faults, Fault{File: c.file, Line: max(c.lines[p], 1), Cause: cause})
}

// name checks a required name.
func (c *checker) name(p path, k, v string) string {
	if c.require(p, k) {
		c.kebab(p.key(k), k, v)
	}
	return v
}

// kebab checks that a value is in kebab case and not too long. The path p is that of
// the value.
func (c *checker) kebab(p path, k, v string) bool {
	if !kebab.MatchString(v) || len(v) > maxNameBytes {
		c.fault(p, "%s = %q is not in kebab case: want at most %d lower-case letters, digits and single hyphens", k, v, maxNameBytes)
		return false
	}
	return true
}

// choice checks that a required value is one of the permitted ones.
func (c *checker) choice(p path, k, v string, permitted ...string) {
	if c.require(p, k) && !slices.Contains(permitted, v) {
		c.fault(p.key(k), "%s = %q is unknown, want %s", k, v, strings.Join(permitted, " or "))
	}
}

// address checks a required IP address and port and returns its canonical form. IPv6
// zones are invalid, because their names differ between machines.
func (c *checker) address(p path, k, v string) string {
	if !c.require(p, k) {
		return v
	}
	a, err := netip.ParseAddrPort(v)
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		c.fault(p.key(k), "%s = %q is not an IP address and port, such as 10.0.0.1:8080 or [fd00::1]:8080", k, v)
		return v
	}
	return a.String()
}

// credential checks a required SHA-256 hash in hexadecimal.
func (c *checker) credential(p path, v string) [32]byte {
	const k = "credential-sha256"
	var r [32]byte
	if !c.require(p, k) {
		return r
	}
	b, err := hex.DecodeString(v)
	if err != nil || len(b) != len(r) {
		c.fault(p.key(k), "%s is not a SHA-256 of 64 hexadecimal digits", k)
		return r
	}
	copy(r[:], b)
	return r
}

// httpURL checks a required HTTP or HTTPS URL.
func (c *checker) httpURL(p path, k, v string) string {
	if !c.require(p, k) {
		return v
	}
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault(p.key(k), "%s = %q is not an http or https URL", k, v)
	}
	return v
}

// unique reports a fault if a value occurs in seen, which maps the values so far to
// their lines.
func unique[K comparable](c *checker, seen map[K]int, v K, p path, format string, a ...any) {
	if !c.hasValue(p) {
		return
	}
	if l, ok := seen[v]; ok {
		c.fault(p, format+"; first on line %d", append(a, l)...)
		return
	}
	seen[v] = c.lines[p]
}
