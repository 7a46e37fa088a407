// Command standin3 plays the cases of the third review that are scripts. It is a stand-in of the platform, of its
// runners and consumers, starts the system's processes beside it on loopback, and judges what these stand-ins see. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// errStartAgain is returned by a case that needs another start of the deployment.
var errStartAgain = errors.New("the deployment did not start as the case needs it")

// maxStarts bounds the starts of the deployment after the first.
const maxStarts = 6

// scenario plays a case on a deployment. It reports what has broken the rule, or an error if the case could not run.
type scenario func(ste *site, hasTrouble bool) ([]string, error)

// scenarios are the cases by name. Each file of a case adds its own.
var scenarios = map[string]scenario{}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/daisywheel", "the system's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the processes' output in the folder of the record")
	flag.Parse()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	scn, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return unknown
	}
	abs, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	defer rec.close()
	rec.add("case %s, with its trouble: %t", *name, hasTrouble)
	violations, err := startAndPlay(rec, scn, abs, *keep, hasTrouble)
	for again := 0; errors.Is(err, errStartAgain) && again < maxStarts; again++ {
		violations, err = startAndPlay(rec, scn, abs, *keep, hasTrouble)
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	for _, text := range violations {
		rec.add("broken: %s", text)
	}
	if len(violations) > 0 {
		fmt.Println(violations[0])
		return broken
	}
	rec.add("the rule held")
	return held
}

// startAndPlay starts a deployment, plays the case on it and ends all its processes.
func startAndPlay(rec *record, scn scenario, program string, keep, hasTrouble bool) ([]string, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	if keep {
		fmt.Println(dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ste, err := newSite(rec, program, dir)
	if err != nil {
		return nil, err
	}
	defer ste.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		violations []string
		err        error
	}
	ended := make(chan result, 1)
	go func() {
		violations, err := scn(ste, hasTrouble)
		ended <- result{violations, err}
	}()
	select {
	case <-stop:
		return nil, errors.New("stopped by a signal")
	case res := <-ended:
		return res.violations, res.err
	}
}
