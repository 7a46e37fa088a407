// Package process runs one entry process with all its plug-ins.
package process

import (
	"context"
	"time"

	// The plug-ins register themselves in their init functions.
	_ "daisywheel/internal/caller/server"
	_ "daisywheel/internal/duty/checkpointer"
	_ "daisywheel/internal/duty/lender"
	_ "daisywheel/internal/duty/logreader"
	_ "daisywheel/internal/duty/mover"
	_ "daisywheel/internal/duty/placer"
	_ "daisywheel/internal/duty/registrar"
	_ "daisywheel/internal/duty/taskrunner"
	_ "daisywheel/internal/duty/vmmonitor"
	_ "daisywheel/internal/duty/waveplanner"
	_ "daisywheel/internal/duty/zonemonitor"
	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	_ "daisywheel/internal/operator/api"
	"daisywheel/internal/request/dispatcher"
)

// restoreTimeout bounds the time for reading the checkpoint at the start.
const restoreTimeout = 10 * time.Second

// Process is one running entry process.
type Process struct {
	nod            *node.Node
	dispatcherLoop *loop.Loop
	stopPlugins    func()
	done           chan struct{}
}

// Start starts an entry. The entry restores the newest checkpoint if the platform
// answers, and serves callers once it has registered.
func Start(cfg node.Config) (*Process, error) {
	nod := node.New(time.Now(), cfg)
	prc := &Process{nod: nod, done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
	defer cancel()
	if err := nod.RestoreCheckpoint(ctx); err != nil {
		nod.Journal().Warn(time.Now(), "checkpointUnread")
	}
	prc.dispatcherLoop = loop.OnWake("dispatcher", dispatcher.TickInterval, nod.Dispatcher().Wakeups, nod.Dispatcher().Tick)
	stopPlugins, err := plugin.Start(nod)
	if err != nil {
		prc.dispatcherLoop.Stop()
		nod.Close()
		return nil, err
	}
	prc.stopPlugins = stopPlugins
	if err := nod.PeerEndpoint().Listen(nod.Settings().PeerAddress); err != nil {
		stopPlugins()
		prc.dispatcherLoop.Stop()
		nod.Close()
		return nil, err
	}
	nod.Journal().Event(time.Now(), "entryStarted")
	return prc, nil
}

// Node returns what the plug-ins of the entry share.
func (prc *Process) Node() *node.Node { return prc.nod }

// Done returns a channel that is closed when the entry has stopped.
func (prc *Process) Done() <-chan struct{} { return prc.done }

// Stop stops the entry gracefully: it reports that it is not ready, waits for the
// load balancer to notice, finishes what is in flight and then deregisters.
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
