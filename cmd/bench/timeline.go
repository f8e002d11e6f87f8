package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"dandelionrock.example/dandelionrock/event"
)

// timeline returns the events of all instances that answer, since a time.
func (l *layout) timeline(x context.Context, since time.Time) []event.Event {
	var a [][]event.Event
	for _, i := range l.Instances {
		c, f := context.WithTimeout(x, 2*time.Second)
		e, _, err := l.operator(i, "").Timeline(c)
		f()
		if err != nil {
			continue
		}
		var r []event.Event
		for _, y := range e {
			if !event.Time(y.Clock).Before(since) {
				r = append(r, y)
			}
		}
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
