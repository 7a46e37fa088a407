package cli

import (
	"daisywheel/platform/process"
)

var cmdScheduler = command{
	name:    "scheduler",
	args:    "[-check]",
	summary: "run the job scheduler of one entry VM on the users' platform",
	run:     runScheduler,
}

func runScheduler(env *env, args []string) error {
	set := env.flags("scheduler")
	isCheck := set.Bool("check", false, "check the platform's settings and exit")
	if _, err := parse(set, args); err != nil {
		return err
	}
	return process.Run(process.Config{Out: env.out, IsCheckOnly: *isCheck, Quit: interrupted()})
}
