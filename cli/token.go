package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/daemon"
)

func (a *app) tokenCommand() *ffcli.Command {
	return a.withDefaults(&ffcli.Command{
		Name:       "token",
		ShortUsage: "briarcross token NAME",
		ShortHelp:  "Creates a bearer token, and the line with its hash for a tokens file.",
		Exec: func(_ context.Context, args []string) error {
			name, err := oneArgument(args, "the name of the token's holder")
			if err != nil {
				return err
			}
			token := newToken()
			_, err = fmt.Fprintf(a.stdout, "token: %s\nline:  %s %s\n", token, name, daemon.HashToken(token))
			return err
		},
	})
}

func newToken() string {
	const length = 32
	var secret [length]byte
	_, _ = rand.Read(secret[:])
	return base64.RawURLEncoding.EncodeToString(secret[:])
}
