package config_test

import (
	"fmt"

	"dandelionrock.example/dandelionrock/config"
)

func ExampleParse() {
	_, err := config.Parse("guild.toml", []byte(`organisation = "guild"

[[services]]
name = "quotes"
timeout = "2"
upstreams = [
  { name = "quote-01", address = "127.0.0.1:21001", region = "hobart", failure-domain = "hobart-a" },
]
`))
	fmt.Println(err)
	// Output:
	// guild.toml:5: timeout = "2" is not a duration: want a number and a unit of us, ms, s, m or h
	// guild.toml:7: fencing is missing
}
