// Command standin2 plays the cases of the second review: it runs the entries as separate processes
// beside stand-ins of the platform, the runners and the consumers, all on loopback addresses.
//
//	standin2 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it plays the case without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// limit ends a case that does not end by itself.
const limit = 110 * time.Second

// play is what a case does. It returns what broke the rule.
type play func(rec *recorder, isTrouble bool) (broken []string, err error)

var plays = map[string]play{
	"moved":    playMoved,
	"upkeep":   playUpkeep,
	"returned": playReturned,
	"ended":    playEnded,
	"frozen":   playFrozen,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := plays[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	var out outcome
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case out = <-done:
	case sig := <-interrupted:
		out.err = fmt.Errorf("ended by %s", sig)
	case <-time.After(limit):
		out.err = fmt.Errorf("not done after %s", limit)
	}
	if sit := current.Load(); sit != nil {
		sit.stop()
	}
	switch {
	case out.err != nil:
		rec.event("verdict", "the case could not run: "+out.err.Error())
		fmt.Fprintln(os.Stderr, out.err)
		return 2
	case len(out.broken) > 0:
		rec.event("verdict", "broken: "+strings.Join(out.broken, "; "))
		fmt.Println("broken:", strings.Join(out.broken, "\n        "))
		return 1
	}
	rec.event("verdict", "held")
	fmt.Println("held")
	return 0
}
