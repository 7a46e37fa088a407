package cli

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"daisywheel/internal/operator/wire"
)

var cmdJob = command{
	name:    "job",
	args:    "submit|list|show|cancel",
	summary: "submit, show and cancel jobs",
	run: func(env *env, args []string) error {
		return dispatchSub(env, "job", jobCommands, args)
	},
}

var jobCommands = []command{
	{"submit", "[-team T] [-pool P] [-kind K] [-cores N] [-memory MB] [-accelerators N] [-priority N] [-seconds N] NAME", "submit a job", jobSubmit},
	{"list", "", "list the jobs", jobList},
	{"show", "NAME", "show one job", jobShow},
	{"cancel", "NAME...", "cancel jobs", jobCancel},
}

func jobSubmit(env *env, args []string) error {
	set := env.flags("job submit")
	jb := wire.Job{ChangeID: uuid.NewString()}
	set.StringVar(&jb.Team, "team", "default", "team that the job counts for")
	set.StringVar(&jb.Pool, "pool", "", "pool whose VMs may run the job; empty for any")
	set.StringVar(&jb.Kind, "kind", "", "kind of job, by which sizes are learned")
	set.IntVar(&jb.Cores, "cores", 1, "processor cores")
	set.IntVar(&jb.MemoryMB, "memory", 1024, "memory in MB")
	set.IntVar(&jb.Accelerators, "accelerators", 0, "accelerators")
	set.IntVar(&jb.Priority, "priority", 10, "priority; 90 and more is urgent")
	set.IntVar(&jb.Seconds, "seconds", 60, "expected run time in seconds")
	rest, err := env.connect(set, args, 1)
	if err != nil {
		return err
	}
	jb.Name = rest[0]
	jb.Author = env.author
	return env.change(http.MethodPost, "/v1/jobs", jb, "job "+jb.Name)
}

func jobList(env *env, args []string) error {
	if _, err := env.connect(env.flags("job list"), args, 0); err != nil {
		return err
	}
	var jobs wire.Jobs
	if printed, err := env.get("/v1/jobs", &jobs); err != nil || printed {
		return err
	}
	var lines []string
	for _, jb := range jobs.Jobs {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d", jb.Name, jb.Team, jb.State, jb.VM, jb.Priority,
			jb.Cores, jb.MemoryMB, jb.Accelerators))
	}
	env.columns("JOB\tTEAM\tSTATE\tVM\tPRIORITY\tCORES\tMEMORY MB\tACCELERATORS", lines)
	return nil
}

func jobShow(env *env, args []string) error {
	rest, err := env.connect(env.flags("job show"), args, 1)
	if err != nil {
		return err
	}
	var jb wire.Job
	if printed, err := env.get("/v1/jobs/"+rest[0], &jb); err != nil || printed {
		return err
	}
	env.printf("job %s of team %s: %s\n", jb.Name, jb.Team, jb.State)
	env.printf("asks for %d cores, %d MB, %d accelerators, priority %d\n", jb.Cores, jb.MemoryMB, jb.Accelerators, jb.Priority)
	if jb.VM != "" {
		env.printf("on %s, placement %d\n", jb.VM, jb.FencingToken)
	}
	if len(jb.FailedOn) > 0 {
		env.printf("failed on %s\n", strings.Join(jb.FailedOn, ", "))
	}
	return nil
}

func jobCancel(env *env, args []string) error {
	rest, err := env.connect(env.flags("job cancel"), args, -1)
	if err != nil {
		return err
	}
	for _, name := range rest {
		chg := wire.Change{ChangeID: uuid.NewString(), Author: env.author}
		if err := env.change(http.MethodPost, "/v1/jobs/"+name+"/cancel", chg, "job "+name+" cancelled"); err != nil {
			return err
		}
	}
	return nil
}
