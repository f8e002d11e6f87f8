package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds a run; the processes are ended when it has passed.
const limit = 110 * time.Second

// cases holds the function of each case. It reports whether the rule held.
var cases = map[string]func(s *scene) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// failure is the panic of a case that can't run.
type failure struct{ text string }

// run plays a case and returns the exit code.
func run(name, file string) (code int) {
	s, err := newScene(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-end:
		case <-time.After(limit):
		}
		s.logf("ended from outside, or after %v", limit)
		s.close()
		os.Exit(2)
	}()
	defer func() {
		if v := recover(); v != nil {
			f, ok := v.(failure)
			if !ok {
				s.close()
				panic(v)
			}
			s.logf("could not run: %s", f.text)
			code = 2
		}
	}()
	s.logf("case %s, disruption %v", name, s.trouble)
	if cases[name](s) {
		s.logf("result: the rule held")
		return 0
	}
	s.logf("result: the rule was broken")
	return 1
}
