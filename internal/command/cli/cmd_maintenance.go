package cli

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"daisywheel/internal/operator/wire"
)

var cmdMaintenance = command{
	name:    "maintenance",
	args:    "start|status|pause|resume|cancel",
	summary: "drain and reboot VMs within the availability budgets",
	run: func(env *env, args []string) error {
		return dispatchSub(env, "maintenance", maintenanceCommands, args)
	},
}

var maintenanceCommands = []command{
	{"start", "[-pools P,P] [-vms V,V] NAME", "start a wave", maintenanceStart},
	{"status", "[NAME]", "show the waves, or one wave's VMs", maintenanceStatus},
	{"pause", "NAME", "drain no further VMs for now", maintenanceAction("pause")},
	{"resume", "NAME", "go on", maintenanceAction("resume")},
	{"cancel", "NAME", "drain no further VMs", maintenanceAction("cancel")},
}

func maintenanceStart(env *env, args []string) error {
	set := env.flags("maintenance start")
	pools := set.String("pools", "", "pools, separated by commas")
	vms := set.String("vms", "", "VMs, separated by commas")
	rest, err := env.connect(set, args, 1)
	if err != nil {
		return err
	}
	wst := wire.WaveStart{
		Name: rest[0], Pools: splitList(*pools), VMs: splitList(*vms), ChangeID: uuid.NewString(), Author: env.author,
	}
	return env.change(http.MethodPost, "/v1/waves", wst, "wave "+rest[0])
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func maintenanceStatus(env *env, args []string) error {
	rest, err := env.connect(env.flags("maintenance status"), args, -1)
	if err != nil {
		return err
	}
	if len(rest) == 1 {
		return maintenanceShow(env, rest[0])
	}
	var waves wire.Waves
	if printed, err := env.get("/v1/waves", &waves); err != nil || printed {
		return err
	}
	var lines []string
	for _, wav := range waves.Waves {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%d", wav.Name, wav.Author, wav.State,
			len(wav.Waiting), len(wav.Active), len(wav.Done), len(wav.Skipped)))
	}
	env.columns("WAVE\tBY\tSTATE\tWAITING\tACTIVE\tDONE\tNOT MAINTAINED", lines)
	return nil
}

func maintenanceShow(env *env, name string) error {
	var wav wire.Wave
	if printed, err := env.get("/v1/waves/"+name, &wav); err != nil || printed {
		return err
	}
	env.printf("wave %s by %s: %s\n", wav.Name, wav.Author, wav.State)
	env.printf("waiting: %s\nactive:  %s\ndone:    %s\n", strings.Join(wav.Waiting, " "),
		strings.Join(wav.Active, " "), strings.Join(wav.Done, " "))
	for vm, reason := range wav.Skipped {
		env.printf("not maintained: %s (%s)\n", vm, reason)
	}
	return nil
}

func maintenanceAction(action string) func(env *env, args []string) error {
	return func(env *env, args []string) error {
		rest, err := env.connect(env.flags("maintenance "+action), args, 1)
		if err != nil {
			return err
		}
		chg := wire.Change{ChangeID: uuid.NewString(), Author: env.author}
		return env.change(http.MethodPost, "/v1/waves/"+rest[0]+"/"+action, chg, "wave "+rest[0]+" "+action)
	}
}
