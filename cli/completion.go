package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) completionCommand(root func() *ffcli.Command) *ffcli.Command {
	return a.withDefaults(&ffcli.Command{
		Name:       "completion",
		ShortUsage: "briarcross completion bash",
		ShortHelp:  "Prints a script for shell completion of commands and flags.",
		Exec: func(_ context.Context, args []string) error {
			shell, err := oneArgument(args, "the name of the shell")
			if err != nil {
				return err
			}
			if shell != "bash" {
				return exitErrorf(ExitUsage, "completion supports only bash, not %s", shell)
			}
			return printCompletion(a.stdout, root())
		},
	})
}

const (
	completionHead = `# Completion of briarcross for bash: source <(briarcross completion bash)
_briarcross() {
  local word="${COMP_WORDS[COMP_CWORD]}" path="" words="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    case "${COMP_WORDS[i]}" in
      -*) ;;
      *) case "$path ${COMP_WORDS[i]}" in
`
	completionMiddle = `      esac ;;
    esac
  done
  case "$path" in
`
	completionTail = `  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
}
complete -o default -F _briarcross briarcross
`
)

// printCompletion writes the script. Its first case statement lists the paths
// of all commands, its second the words that may follow each path.
func printCompletion(out io.Writer, root *ffcli.Command) error {
	var paths, words strings.Builder
	walkCommands(root, "", func(path string, c *ffcli.Command) {
		if path != "" {
			fmt.Fprintf(&paths, "        %q) path=%q ;;\n", path, path)
		}
		fmt.Fprintf(&words, "    %q) words=%q ;;\n", path, strings.Join(completions(c), " "))
	})
	_, err := io.WriteString(out, completionHead+paths.String()+completionMiddle+words.String()+completionTail)
	return err
}

func walkCommands(c *ffcli.Command, path string, visit func(path string, c *ffcli.Command)) {
	visit(path, c)
	for _, sub := range c.Subcommands {
		walkCommands(sub, path+" "+sub.Name, visit)
	}
}

// completions returns the subcommands and flags of a command.
func completions(c *ffcli.Command) []string {
	var words []string
	for _, sub := range c.Subcommands {
		words = append(words, sub.Name)
	}
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		words = append(words, "-"+f.Name)
	})
	return words
}
