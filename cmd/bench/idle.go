package main

type idleCommand struct{ common }

// Execute implements flags.Commander.
func (c *idleCommand) Execute([]string) error { return nil }
