package main

import (
	"context"

	"dandelionrock.example/dandelionrock/config"
	"github.com/cockroachdb/errors"
)

// serve runs an instance until c is cancelled.
func serve(context.Context, *config.Settings) error {
	return errors.New("serve is not implemented yet")
}
