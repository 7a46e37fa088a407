package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"daisywheel/internal/operator/wire"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

var cmdVM = command{
	name:    "vm",
	args:    "list|move|release",
	summary: "show VMs, move one to another pool, lift a quarantine",
	run: func(env *env, args []string) error {
		return dispatchSub(env, "vm", vmCommands, args)
	},
}

var vmCommands = []command{
	{"list", "[-pool POOL]", "list the VMs", vmList},
	{"move", "[-loan] VM POOL", "move a VM to another pool; with -loan it keeps its home", vmMove},
	{"release", "VM", "lift a VM's quarantine, or accept that a removed VM is not replaced", vmRelease},
}

func vmList(env *env, args []string) error {
	set := env.flags("vm list")
	pool := set.String("pool", "", "only this pool")
	if _, err := env.connect(set, args, 0); err != nil {
		return err
	}
	var vms wire.VMs
	if printed, err := env.get("/v1/vms?pool="+*pool, &vms); err != nil || printed {
		return err
	}
	var lines []string
	for _, vm := range vms.VMs {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s", vm.Name, vm.Zone, vm.Rack, vm.Pool,
			vm.Phase, vm.Status, vm.Epoch, vmNote(vm)))
	}
	env.columns("VM\tZONE\tRACK\tPOOL\tPHASE\tSTATUS\tEPOCH\tNOTE", lines)
	return nil
}

// vmNote returns the NOTE column: home pool, target pool, wave, what the VM waits for,
// quarantine and number of tasks, as far as they apply.
func vmNote(vm wire.VM) string {
	var notes []string
	if vm.Home != vm.Pool {
		notes = append(notes, "home "+vm.Home)
	}
	if vm.Next != "" {
		notes = append(notes, "to "+vm.Next)
	}
	if vm.Wave != "" {
		notes = append(notes, "wave "+vm.Wave)
	}
	if len(vm.WaitsFor) > 0 {
		notes = append(notes, "waits for "+strings.Join(vm.WaitsFor, " "))
	}
	if vm.Quarantined {
		notes = append(notes, "quarantined")
	}
	if len(vm.Tasks) > 0 {
		notes = append(notes, fmt.Sprintf("%d tasks", len(vm.Tasks)))
	}
	return strings.Join(notes, ", ")
}

func vmMove(env *env, args []string) error {
	set := env.flags("vm move")
	isLoan := set.Bool("loan", false, "the VM keeps its home pool")
	rest, err := env.connect(set, args, 2)
	if err != nil {
		return err
	}
	var vms wire.VMs
	if err := env.client.Get(context.Background(), "/v1/vms", &vms); err != nil {
		return err
	}
	for _, vm := range vms.VMs {
		if vm.Name != rest[0] {
			continue
		}
		mov := wire.Move{To: rest[1], IsLoan: *isLoan, Epoch: vm.Epoch, ChangeID: uuid.NewString(), Author: env.author}
		return env.change(http.MethodPost, "/v1/vms/"+vm.Name+"/move", mov, vm.Name+" to "+rest[1])
	}
	return fault.New(code.UnknownVM, "no VM %q", rest[0])
}

func vmRelease(env *env, args []string) error {
	rest, err := env.connect(env.flags("vm release"), args, 1)
	if err != nil {
		return err
	}
	chg := wire.Change{ChangeID: uuid.NewString(), Author: env.author}
	return env.change(http.MethodPost, "/v1/vms/"+rest[0]+"/release", chg, rest[0]+" released")
}
