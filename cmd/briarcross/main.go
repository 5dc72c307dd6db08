// Command briarcross runs the daemons of the serving system and the operators'
// commands.
package main

import (
	"os"

	"github.com/briarcross/briarcross/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
