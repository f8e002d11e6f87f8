package config

import (
	"bytes"
	"strconv"
	"text/template"
)

// organisationText is the template of a configuration text. It states every value,
// so that the text doesn't depend on defaults, which may change.
var organisationText = template.Must(template.New("").Funcs(template.FuncMap{
	"duration": formatDuration,
	"float":    formatFloat,
	"list":     formatList,
}).Parse(`organisation = "{{.Name}}"
{{range .Services}}
[[services]]
name = "{{.Name}}"
depends-on = {{list .DependsOn}}
idempotent = {{.Idempotent}}
shard-count = {{.ShardCount}}
timeout = "{{duration .Timeout}}"
max-timeout = "{{duration .MaxTimeout}}"
max-body = "{{.MaxBody}}"
max-answer = "{{.MaxAnswer}}"
hold-time = "{{duration .HoldTime}}"
grant-ttl = "{{duration .GrantTTL}}"
evacuate-after = "{{duration .EvacuateAfter}}"
rebalance-above = {{float .RebalanceAbove}}
{{range .Upstreams}}
[[services.upstreams]]
name = "{{.Name}}"
address = "{{.Address}}"
region = "{{.Region}}"
failure-domain = "{{.FailureDomain}}"
slots = {{.Slots}}
connections = {{.Connections}}
fencing = "{{.Fencing}}"
{{end}}{{end}}{{range .Accounts}}
[[client-accounts]]
name = "{{.Name}}"
credential-sha256 = "{{printf "%x" .CredentialSHA256}}"
services = {{list .Services}}
weight = {{.Weight}}
rate = {{float .Rate}}
concurrency = {{.Concurrency}}
{{end}}`))

// Text returns the configuration text of o. If o is valid, Parse of this text
// returns an organisation that is equal except for File and the Line of services.
func (o *Organisation) Text() []byte {
	var b bytes.Buffer
	if err := organisationText.Execute(&b, o); err != nil {
		// Unreachable: the template uses only fields and functions that can't fail.
		panic("config: " + err.Error())
	}
	return b.Bytes()
}

// formatList returns names as a TOML array of strings.
func formatList(names []string) string {
	b := []byte{'['}
	for i, n := range names {
		if i > 0 {
			b = append(b, ", "...)
		}
		b = strconv.AppendQuote(b, n)
	}
	return string(append(b, ']'))
}
