package main

import "time"

const overloadService = 10 * time.Millisecond

type overloadCommand struct{ common }

// Execute implements flags.Commander.
func (c *overloadCommand) Execute([]string) error { return nil }
