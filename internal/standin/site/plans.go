package site

import (
	"time"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/row"
)

// Settings shared by the plans.
const (
	queueLimit      = 200
	deadlineMs      = 4000
	borrowSlots     = 200
	lendSlots       = 50
	spareLendSlots  = 90
	spareLendVMs    = 5
	borrowVMs       = 4
	downVMs         = 2
	vmsPerPool      = 10
	planServiceTime = 200 * time.Millisecond
	planRebootTime  = 1500 * time.Millisecond
)

// Compost returns the plan of the compost cooperative's site.
func Compost() Plan {
	return Plan{
		Name: "compost", Zones: []string{"ne-a", "ne-b", "ne-c"}, EntriesPerZone: 3,
		Pools:      pools("office", "gate", "permits", "ledger", "haulers", "office"),
		VMsPerPool: vmsPerPool, VMShape: shape.New(shape.Config{Cores: 16, MemoryMB: 64 << 10}),
		RebootTime: planRebootTime, ServiceTime: planServiceTime, CallerDelay: time.Millisecond,
	}
}

// Vendors returns the plan of the vendors' site.
func Vendors() Plan {
	return Plan{
		Name: "vendors", Zones: []string{"fl-a", "fl-b", "fl-c", "fl-d"}, EntriesPerZone: 2,
		Pools:      pools("portal", "booking", "reorder", "cards", "hygiene", "portal"),
		VMsPerPool: vmsPerPool, VMShape: shape.New(shape.Config{Cores: 16, MemoryMB: 32 << 10}),
		RebootTime: planRebootTime, ServiceTime: planServiceTime, CallerDelay: time.Millisecond,
	}
}

// pools returns a pool for each name. The spare pool lends most of its slots.
func pools(spare string, names ...string) []PoolPlan {
	var plans []PoolPlan
	for _, name := range names {
		cfg := row.Config{
			Pool: name, Service: name, Weight: 10, TakeSlots: borrowSlots, LendSlots: lendSlots,
			TakeVMs: borrowVMs, LendVMs: 1, DownVMs: downVMs, Queue: queueLimit, DeadlineMs: deadlineMs,
		}
		if name == spare {
			cfg.Weight = 1
			cfg.LendSlots = spareLendSlots
			cfg.LendVMs = spareLendVMs
			cfg.Note = "spare pool"
		}
		plans = append(plans, PoolPlan{Row: cfg})
	}
	return plans
}
