// Command dandelionrock runs an instance of the router and operates it.
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
	// After the first signal, a second one ends the process at once.
	context.AfterFunc(c, stop)
	p := subcmd.Program{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Serve: serve, Gateway: runGateway, Version: version()}
	os.Exit(p.Run(c, os.Args[1:]))
}

// version returns the version of the main module that the build recorded.
func version() string {
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
		return b.Main.Version
	}
	return "unknown"
}
