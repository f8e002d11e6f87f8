// Command dandelionrock runs and operates instances of the router.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dandelionrock.example/dandelionrock/internal/subcmd"
)

func main() {
	c, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	// The first signal restores the default handling, so that a second one ends
	// the process at once.
	context.AfterFunc(c, stop)
	p := subcmd.Program{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Serve: serve, Gateway: runGateway, Version: version()}
	os.Exit(p.Run(c, os.Args[1:]))
}

// version returns the version of the main module from the build information.
func version() string {
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
		return b.Main.Version
	}
	return "unknown"
}
