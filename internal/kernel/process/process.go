// Package process runs one entry with all its plug-ins.
package process

import (
	"context"
	"time"

	// Each plug-in registers itself.
	_ "daisywheel/internal/caller/door"
	_ "daisywheel/internal/duty/checkpointer"
	_ "daisywheel/internal/duty/follower"
	_ "daisywheel/internal/duty/lender"
	_ "daisywheel/internal/duty/mover"
	_ "daisywheel/internal/duty/observer"
	_ "daisywheel/internal/duty/placer"
	_ "daisywheel/internal/duty/registrar"
	_ "daisywheel/internal/duty/runner"
	_ "daisywheel/internal/duty/watcher"
	_ "daisywheel/internal/duty/waver"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/kernel/registry"
	_ "daisywheel/internal/operator/api"
	"daisywheel/internal/request/dispatcher"
)

// restoreTimeout bounds the reading of the checkpoint at the start.
const restoreTimeout = 10 * time.Second

// Process is one running entry.
type Process struct {
	nod            *node.Node
	dispatcherLoop *part.Part
	stopPlugins    func()
	done           chan struct{}
}

// Start starts an entry. It begins from the newest checkpoint when the platform
// answers, and serves callers once it has registered.
func Start(cfg node.Config) (*Process, error) {
	nod := node.New(time.Now(), cfg)
	prc := &Process{nod: nod, done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
	defer cancel()
	if err := nod.RestoreCheckpoint(ctx); err != nil {
		nod.Journal().Warn(time.Now(), "checkpointUnread")
	}
	prc.dispatcherLoop = part.Adaptive("dispatcher", dispatcher.TickInterval, nod.Dispatcher().Waking, nod.Dispatcher().Tick)
	stops, err := registry.Start(nod)
	if err != nil {
		prc.dispatcherLoop.Stop()
		nod.Close()
		return nil, err
	}
	prc.stopPlugins = stops
	if err := nod.Link().Listen(nod.Settings().PeerAddress); err != nil {
		stops()
		prc.dispatcherLoop.Stop()
		nod.Close()
		return nil, err
	}
	nod.Journal().Event(time.Now(), "entryStarted")
	return prc, nil
}

// Node returns the shared part of the entry.
func (prc *Process) Node() *node.Node { return prc.nod }

// Done returns a channel that is closed when the entry has stopped.
func (prc *Process) Done() <-chan struct{} { return prc.done }

// Stop ends the entry gracefully: it leaves the balancer first, finishes what is
// in flight and then says goodbye to the registry.
func (prc *Process) Stop() {
	prc.nod.SetStopping()
	prc.nod.Journal().Event(time.Now(), "entryStopping")
	time.Sleep(prc.nod.Settings().BalancerDelay)
	prc.stopPlugins()
	prc.dispatcherLoop.Stop()
	prc.nod.Journal().Event(time.Now(), "entryStopped")
	prc.nod.Close()
	close(prc.done)
}
