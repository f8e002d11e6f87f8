package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/caller"
)

// credentialVariable is the environment variable that holds the credential if
// no file is given.
const credentialVariable = "DANDELIONROCK_CREDENTIAL"

type callCommand struct {
	caller.Config
	CredentialFile string `long:"credential-file" value-name:"FILE" description:"credential of the client account; without it, the environment variable DANDELIONROCK_CREDENTIAL is used"`
	Text           bool   `long:"text" description:"print an aligned line after the JSON line"`
}

// Execute implements flags.Commander. It sends the request and prints the
// result, and returns an error unless the outcome is answered.
func (c *callCommand) Execute([]string) error {
	if err := c.readCredential(); err != nil {
		return err
	}
	r, err := caller.Do(context.Background(), c.Config)
	if err != nil {
		return err
	}
	fmt.Println(r.JSON())
	if c.Text {
		fmt.Println(r.Text())
	}
	if r.Outcome != caller.Answered {
		return errors.Newf("outcome is %s, reason %s", r.Outcome, r.Reason)
	}
	return nil
}

// readCredential sets the credential from the file or else from the
// environment. It stays empty if there is none; an instance refuses such a request.
func (c *callCommand) readCredential() error {
	s := os.Getenv(credentialVariable)
	if c.CredentialFile != "" {
		b, err := os.ReadFile(c.CredentialFile)
		if err != nil {
			return err
		}
		s = string(b)
	}
	c.Credential = strings.TrimSpace(s)
	return nil
}
