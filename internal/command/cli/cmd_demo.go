package cli

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/standin/demo"
	"daisywheel/internal/standin/site"
)

var cmdDemo = command{
	name:    "demo",
	args:    "[-for D] [-seed N] [-site compost|vendors] [-events FILE]",
	summary: "run a whole site on loopback with demand, maintenance, jobs and faults",
	run:     runDemo,
}

func runDemo(env *env, args []string) error {
	set := env.flags("demo")
	duration := set.Duration("for", 0, "how long to run; 0 runs until Ctrl-C")
	seed := set.Uint64("seed", 1, "seed of the demand and of the choices")
	name := set.String("site", "compost", "site: compost or vendors")
	events := set.String("events", "", "file for the event lines of all processes")
	rest, err := parse(set, args)
	if err != nil {
		return err
	}
	plans := map[string]func() site.Plan{"compost": site.Compost, "vendors": site.Vendors}
	plan, ok := plans[*name]
	if !ok || len(rest) > 0 || *duration < 0 {
		return fault.New(code.BadUsage, "demo takes -for, -seed, -site compost|vendors and -events")
	}
	out, err := openEvents(*events)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	rpt, err := demo.Run(demo.Config{
		For: *duration, Seed: *seed, Plan: plan(), Progress: env.diag, IsLive: isTerminal(env.diag), Events: out, Quit: interrupted(),
	})
	if err != nil {
		return err
	}
	line, err := rpt.Line()
	if err != nil {
		return err
	}
	env.printf("%s\n", line)
	if rpt.Broken != "" {
		return errInvariantViolated
	}
	return nil
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// nopCloser adds a Close method that does nothing to a writer.
type nopCloser struct {
	io.Writer
}

// Close implements io.Closer.
func (nopCloser) Close() error { return nil }

// openEvents creates the events file. An empty path discards the events.
func openEvents(path string) (io.WriteCloser, error) {
	if path == "" {
		return nopCloser{io.Discard}, nil
	}
	file, err := os.Create(path)
	return file, errors.Wrapf(err, "events file %s", path)
}
