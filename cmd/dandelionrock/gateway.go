package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"dandelionrock.example/dandelionrock/internal/gate/router"
	"dandelionrock.example/dandelionrock/platform"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

// runGateway runs an instance on the users' platform.
func runGateway(c context.Context) error {
	s, err := platform.ReadSettings(os.Getenv)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	l := zerolog.New(os.Stdout).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	// The transport library's own log lines are not JSON lines.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	w := platform.NewWatch(os.Getenv)
	return router.Run(c, s, router.Options{Log: l, Reload: h, Changed: w.Changed, Read: func() (*platform.Settings, error) { return platform.ReadSettings(os.Getenv) }})
}
