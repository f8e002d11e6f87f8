package main

type balanceCommand struct{ common }

// Execute implements flags.Commander.
func (c *balanceCommand) Execute([]string) error { return nil }
