package service

import (
	"context"
	"slices"
	"time"

	"daisywheel/internal/fleet/queue"
)

// formerPoolsInterval is the time between checks whether the pools that have accepted jobs are to
// be read again. That is so for some seconds after a change of the active pools.
const formerPoolsInterval = time.Second

// refreshFormerPools reads which pools have accepted jobs if the active pools have changed since.
func (svc *Service) refreshFormerPools(now time.Time) {
	if svc.table.Load() == nil {
		return
	}
	svc.mu.Lock()
	since := svc.poolsChangedAt
	svc.mu.Unlock()
	_ = svc.poolIndex.Refresh(context.Background(), now, since) // it logs what fails, and the next check tries again
}

// formerPools returns the pools that have accepted jobs and are not active any more. They have owners
// too, as jobs of theirs may be left, and their VMs may go on.
func (svc *Service) formerPools(tab *queue.Table) []string {
	return slices.DeleteFunc(svc.poolIndex.PoolNames(), tab.IsActive)
}
