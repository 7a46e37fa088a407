package cli

import (
	"fmt"
	"strings"

	"daisywheel/internal/operator/wire"
)

var cmdStatus = command{name: "status", summary: "show the entries and how far each has applied the log", run: runStatus}

func runStatus(env *env, args []string) error {
	if _, err := env.connect(env.flags("status"), args, 0); err != nil {
		return err
	}
	var sts wire.Status
	if printed, err := env.get("/v1/status", &sts); err != nil || printed {
		return err
	}
	var lines []string
	for _, ent := range sts.Entries {
		state := "reachable"
		if !ent.IsReachable {
			state = "unreachable"
		}
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d", ent.Name, ent.Zone, state, ent.Offset, ent.TableRev, ent.LagMs))
	}
	env.columns("ENTRY\tZONE\tSTATE\tOFFSET\tTABLE\tLAG MS", lines)
	if len(sts.CutZones) > 0 {
		env.printf("cut-off availability zones: %s\n", strings.Join(sts.CutZones, ", "))
	}
	return nil
}
