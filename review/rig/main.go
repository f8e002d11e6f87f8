// Command rig plays the scripts of the second review: it starts the gateway as separate
// processes on loopback, with the stand-ins of platform/fake, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the scripts by name.
var cases = map[string]func(*scene) (broken string, err error){}

// main plays the case that its first argument names and records in the folder that its
// second argument names. It ends with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	s, err := newScene(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		s.end()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](s)
	s.end()
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		os.Exit(2)
	case broken != "":
		s.note("the rule was broken: %s", broken)
		os.Exit(1)
	}
	s.note("the rule held")
}
