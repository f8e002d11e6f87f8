package config

import "fmt"

// CheckChange checks whether next may replace old as the configuration of an
// organisation. The name and the shard counts may not change: keys are hashed
// modulo the shard count, so that a change would move most keys to another owner
// at once. An error is an *Error.
func CheckChange(old, next *Organisation) error {
	var f []Fault
	if old.Name != next.Name {
		f = append(f, Fault{next.File, 1, fmt.Sprintf("organisation changes from %s to %s", old.Name, next.Name)})
	}
	for _, s := range next.Services {
		if o := old.Service(s.Name); o != nil && o.ShardCount != s.ShardCount {
			f = append(f, Fault{next.File, s.Line, fmt.Sprintf("shard-count of service %q may not change from %d to %d",
				s.Name, o.ShardCount, s.ShardCount)})
		}
	}
	return asError(f)
}
