package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/estimate"
	"daisywheel/internal/schedule/runtimestore"
)

// runtimesInterval is how often learned run times are stored. Those of less are lost with an owner that ends.
const runtimesInterval = 5 * time.Second

// runtimesLoop reads the run times that earlier owners have learned, and stores what this one learns.
func (own *Owner) runtimesLoop() {
	loaded := map[string]bool{} // by address; false for those that are not to be stored
	stored := map[string]int{}  // by address: the observations that are stored
	for wait := time.Duration(0); sleep(own.quit, wait); wait = runtimesInterval {
		own.loadRuntimes(loaded)
		own.storeRuntimes(loaded, stored)
	}
}

// loadRuntimes reads the run times of the pool's queues that have not been read.
func (own *Owner) loadRuntimes(loaded map[string]bool) {
	for _, address := range own.queueAddresses() {
		if _, isLoaded := loaded[address]; isLoaded || own.isEnding() {
			continue
		}
		now := own.cfg.Now()
		mdl, err := own.cfg.Runtimes.Load(context.Background(), now, address)
		switch {
		case errors.Is(err, runtimestore.ErrLaterVersion):
			own.cfg.Journal.Warn(now, "runtimesUnread", slog.String("pool", own.cfg.Pool), slog.String("queue", address), slog.String("error", err.Error()))
			loaded[address] = false
		case err != nil: // it is tried again; appendLoop and the membership log an outage
			return
		default:
			own.locked(func() {
				if own.sch.RestoreRuntimes(address, mdl) {
					loaded[address] = true
				}
			})
		}
	}
}

// queueAddresses returns the addresses of the queues that are configured for the pool.
func (own *Owner) queueAddresses() []string {
	own.mu.Lock()
	defer own.unlock()
	var addresses []string
	if own.table == nil {
		return nil
	}
	for _, que := range own.table.Queues() {
		if que.Pool == own.cfg.Pool {
			addresses = append(addresses, que.Address())
		}
	}
	return addresses
}

// storeRuntimes stores the run times that have changed.
func (own *Owner) storeRuntimes(loaded map[string]bool, stored map[string]int) {
	states := map[string]estimate.State{}
	own.locked(func() {
		for address, ste := range own.sch.Runtimes() {
			if loaded[address] && ste.Count != stored[address] {
				states[address] = ste
			}
		}
	})
	if len(states) == 0 || own.isEnding() {
		return
	}
	if err := own.cfg.Runtimes.Save(context.Background(), states); err != nil {
		return // with the next ones
	}
	for address, ste := range states {
		stored[address] = ste.Count
		own.event(own.cfg.Now(), "runtimesStored", slog.String("queue", address), slog.Int("steps", ste.Count), slog.Float64("spread", ste.Residual()))
	}
}
