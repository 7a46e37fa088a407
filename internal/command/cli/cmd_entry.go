package cli

import (
	"os"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/process"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/settings/entry"
)

var cmdEntry = command{
	name:    "entry",
	args:    "-settings FILE [-check]",
	summary: "run the process of one entry VM",
	run:     runEntry,
}

func runEntry(env *env, args []string) error {
	set := env.flags("entry")
	path := set.String("settings", "", "settings file in YAML")
	isCheck := set.Bool("check", false, "check the settings and exit")
	rest, err := parse(set, args)
	if err != nil {
		return err
	}
	if *path == "" || len(rest) > 0 {
		return fault.New(code.BadUsage, "entry takes -settings FILE and -check")
	}
	settings, err := entry.Load(*path)
	if err != nil {
		return err
	}
	if *isCheck {
		env.printf("%s: settings are valid\n", *path)
		return nil
	}
	cfg := settings.Config()
	quit := interrupted()
	jnl := journal.New(journal.Config{Out: env.out, Process: cfg.Name, Zone: cfg.Zone})
	defer jnl.Close()
	prc, err := process.Start(node.Config{Settings: settings, Seed: uint64(os.Getpid()), Journal: jnl})
	if err != nil {
		return err
	}
	<-quit
	prc.Stop()
	return nil
}
