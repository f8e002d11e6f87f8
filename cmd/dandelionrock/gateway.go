package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"dandelionrock.example/dandelionrock/internal/gate/logs"
	"dandelionrock.example/dandelionrock/internal/gate/router"
	"dandelionrock.example/dandelionrock/platform"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

// maxLogLines is the maximum number of log lines per second. A failed request
// writes two or three, and a small machine handles a few dozen requests per second.
const maxLogLines = 200

// runGateway runs an instance on the users' platform until c is cancelled.
func runGateway(c context.Context) error {
	s, err := platform.ReadSettings(os.Getenv)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	w := logs.New(os.Stdout, maxLogLines)
	defer w.Close()
	l := zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	// The transport library doesn't log in JSON, so its log is discarded.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	f := platform.NewWatch(os.Getenv)
	return router.Run(c, s, router.Options{Log: l, Reload: h, Changed: f.Changed, Read: func() (*platform.Settings, error) { return platform.ReadSettings(os.Getenv) }})
}
