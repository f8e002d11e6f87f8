package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/event"
)

// timeline returns the events since a time of all instances that answer.
func (l *layout) timeline(x context.Context, since time.Time) []event.Event {
	var a [][]event.Event
	for _, i := range l.Instances {
		seen := map[uint64]bool{}
		var r []event.Event
		for o := range l.Texts {
			c, f := context.WithTimeout(x, 2*time.Second)
			e, _, err := l.operator(i, o).Timeline(c)
			f()
			if err != nil {
				continue
			}
			for _, y := range e {
				// Events about instances are in the timeline of each organisation.
				if !seen[y.Clock] && !event.Time(y.Clock).Before(since) {
					seen[y.Clock] = true
					r = append(r, y)
				}
			}
		}
		slices.SortFunc(r, func(x, y event.Event) int { return cmp.Compare(x.Clock, y.Clock) })
		a = append(a, r)
	}
	return event.Merge(a...)
}

// saveTimeline writes the events since a time to a file of the deployment.
func (l *layout) saveTimeline(x context.Context, name string, since time.Time) {
	f, err := os.Create(l.path(name))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer func() { _ = f.Close() }()
	if err := event.WriteText(f, l.timeline(x, since)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
