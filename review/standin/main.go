// Command standin runs the cases of the review that a script shows. It is the platform,
// the runners and the clients of a small deployment, and starts the project's entries as
// processes. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// testCase is one case of the review. It reports whether the rule was broken.
type testCase func(ste *site, isTrouble bool) (isBroken bool, err error)

var cases = map[string]testCase{
	"reborn":   reborn,
	"kind":     otherKind,
	"foreign":  foreign,
	"handover": handover,
	"overdue":  overdue,
	"long":     tooLong,
	"moved":    moved,
	"outage":   outage,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE FOLDER, in the root of the repository")
		return couldNot
	}
	show, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		return couldNot
	}
	rec, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer rec.close()
	ste, err := newSite(rec)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer ste.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(115 * time.Second):
		}
		rec.say("the case takes too long or is stopped")
		rec.close()
		ste.close()
		os.Exit(couldNot)
	}()
	isBroken, err := show(ste, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return couldNot
	case isBroken:
		rec.say("result: the rule was broken")
		return broken
	}
	rec.say("result: the rule held")
	return held
}
