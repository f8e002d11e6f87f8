package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/internal/node"
	"dandelionrock.example/dandelionrock/table"
)

// metricsInterval is the time between updates of the values served as metrics.
const metricsInterval = time.Second

// serve runs an instance until c is cancelled.
func serve(c context.Context, s *config.Settings) error {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	g := zerolog.New(os.Stderr).Level(l).With().Timestamp().Str("instance-id", s.InstanceID).Logger()
	// The transport library doesn't log in JSON, so its log is discarded.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	r := prometheus.NewReporter(prometheus.Options{})
	m, k := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dandelionrock", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	defer func() { _ = k.Close() }()
	t, err := table.NewDynamo(table.DynamoConfig{
		URL: s.Platform.TableURL, Table: s.Platform.TableName, Timeout: s.Platform.CallTimeout,
	})
	if err != nil {
		return err
	}
	defer t.Close()
	g.Info().Str("http-address", s.HTTPAddress).Str("rpc-address", s.RPCAddress).Msg("starting instance")
	n := node.New(node.Options{Settings: s, Store: t, Log: g, Scope: m, Metrics: r.HTTPHandler()})
	if err := n.Run(c); err != nil {
		return err
	}
	g.Info().Msg("instance stopped")
	return nil
}
