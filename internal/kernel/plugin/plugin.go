// Package plugin lists the plug-ins of an entry process. Each plug-in
// registers itself when its package is imported.
package plugin

import (
	"sort"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/kernel/node"
)

// Plugin is one duty or interface of an entry. Start returns a function that stops
// the plug-in and waits until it has ended. Plug-ins start in ascending order of
// Order and stop in descending order.
type Plugin struct {
	Name  string
	Order int
	Start func(nod *node.Node) (stop func(), err error)
}

var plugins []Plugin

// Register adds a plug-in. It is called from init functions only.
func Register(plg Plugin) {
	plugins = append(plugins, plg)
	sort.SliceStable(plugins, func(i, j int) bool { return plugins[i].Order < plugins[j].Order })
}

// All returns the registered plug-ins in ascending order of Order.
func All() []Plugin { return append([]Plugin(nil), plugins...) }

// Start starts all plug-ins on the node and returns a function that stops them. If
// one fails to start, it stops those before it and returns the error.
func Start(nod *node.Node) (stop func(), err error) {
	var stops []func()
	stop = func() {
		for idx := len(stops) - 1; idx >= 0; idx-- {
			stops[idx]()
		}
	}
	for _, plg := range All() {
		stopOne, err := plg.Start(nod)
		if err != nil {
			stop()
			return nil, errors.Wrapf(err, "start %s", plg.Name)
		}
		stops = append(stops, stopOne)
	}
	return stop, nil
}
