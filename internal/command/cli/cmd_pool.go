package cli

import (
	"fmt"

	"daisywheel/internal/operator/wire"
)

var cmdPool = command{name: "pool", summary: "show the pools, their VMs and their slots at the answering entry", run: runPool}

func runPool(env *env, args []string) error {
	if _, err := env.connect(env.flags("pool"), args, 0); err != nil {
		return err
	}
	var pools wire.Pools
	if printed, err := env.get("/v1/pools", &pools); err != nil || printed {
		return err
	}
	var lines []string
	for _, pol := range pools.Pools {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d of %d\t%d\t%d\t%d\t%d\t%d", pol.Name, pol.Service, pol.VMs,
			pol.Unavailable, pol.DownVMs, pol.Slots, pol.Used, pol.Lent, pol.Borrowed, pol.Waiting))
	}
	env.columns("POOL\tSERVICE\tVMS\tDOWN\tSLOTS\tUSED\tLENT\tBORROWED\tWAITING", lines)
	return nil
}
