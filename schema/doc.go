// Package schema holds the messages, table rows, settings and configuration of
// dandelionrock, generated from the .proto files beside it.
//
// Field names are kebab case in JSON and TOML. Run make generate after a change
// of a .proto file; the generated code is committed, so that a build needs no
// generator.
package schema
