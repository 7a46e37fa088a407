package cli

import "runtime/debug"

// release is the version of the next release, equal to the one in CHANGELOG.md.
const release = "0.1.0"

// init breaks the initialization cycle between commands and cmdHelp, which prints them.
func init() { cmdHelp.run = runHelp }

var cmdHelp = command{name: "help", summary: "print this help"}

var cmdVersion = command{name: "version", summary: "print the version", run: runVersion}

func runHelp(env *env, _ []string) error {
	env.printf("daisywheel manages the capacity and the maintenance of a fleet.\n\n")
	var lines []string
	for _, cmd := range commands() {
		lines = append(lines, "  "+cmd.name+"\t"+cmd.summary)
		if cmd.args != "" {
			lines = append(lines, "\t  "+cmd.args)
		}
	}
	env.columns("Commands:", lines)
	env.printf("\nOperators' commands take -operator, -token, -by and -o text|json.\n")
	return nil
}

func runVersion(env *env, _ []string) error {
	version := release
	if info, ok := debug.ReadBuildInfo(); ok {
		version += " " + info.GoVersion
	}
	env.printf("daisywheel %s\n", version)
	return nil
}
