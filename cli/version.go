package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) versionCommand() *ffcli.Command {
	return a.withDefaults(&ffcli.Command{
		Name:       "version",
		ShortUsage: "briarcross version",
		ShortHelp:  "Prints the version of this program.",
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			_, err := fmt.Fprintln(a.stdout, versionText())
			return err
		},
	})
}

func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "briarcross, unknown version"
	}
	text := "briarcross " + info.Main.Version + " " + info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}
