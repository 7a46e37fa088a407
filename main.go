// Command daisywheel routes requests, places jobs, moves VMs between pools and
// runs maintenance waves for small operations teams.
package main

import (
	"os"

	"daisywheel/internal/command/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
