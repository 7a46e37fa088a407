// Package cli implements the command line. Each subcommand has its own file.
package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// command is one subcommand.
type command struct {
	name    string
	args    string
	summary string // one line for the help text
	run     func(env *env, args []string) error
}

// commands lists the subcommands in the order in which help prints them.
func commands() []command {
	return []command{
		cmdDemo, cmdEntry, cmdScheduler, cmdStatus, cmdTable, cmdConfig, cmdPool, cmdVM, cmdJob, cmdMaintenance, cmdTimeline, cmdExplain, cmdVersion, cmdHelp,
	}
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, diag io.Writer) int {
	env := newEnv(out, diag)
	err := dispatch(env, args)
	if err == nil {
		return exitOK
	}
	if errors.Is(err, errDiffers) || errors.Is(err, errFindings) {
		return exitRefused
	}
	_, _ = fmt.Fprintf(diag, "daisywheel: %v\n", err)
	return exitCode(err)
}

func dispatch(env *env, args []string) error {
	if len(args) == 0 {
		return cmdHelp.run(env, nil)
	}
	name := args[0]
	if name == "-h" || name == "-help" || name == "--help" {
		name = "help"
	}
	for _, cmd := range commands() {
		if cmd.name == name {
			return cmd.run(env, args[1:])
		}
	}
	return fault.New(code.BadUsage, "no command %q", args[0])
}

// dispatchSub runs the subcommand of parent that args names. Without a valid one it
// prints the usage and returns a fault.
func dispatchSub(env *env, parent string, subs []command, args []string) error {
	if len(args) > 0 {
		for _, cmd := range subs {
			if cmd.name == args[0] {
				return cmd.run(env, args[1:])
			}
		}
	}
	_, _ = fmt.Fprintf(env.diag, "usage:\n")
	for _, cmd := range subs {
		_, _ = fmt.Fprintf(env.diag, "  daisywheel %s %s %s\n        %s\n", parent, cmd.name, cmd.args, cmd.summary)
	}
	if len(args) == 0 {
		return fault.New(code.BadUsage, "%s needs a subcommand", parent)
	}
	return fault.New(code.BadUsage, "no command %q", parent+" "+args[0])
}
