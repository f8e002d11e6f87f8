// Package schema holds the messages, table rows, settings and configuration of
// dandelionrock, generated from the .proto files in this directory.
//
// Field names are kebab case in JSON and TOML. Run make generate after a change
// of a .proto file. The generated code is committed, so that a build needs no
// generator.
package schema
