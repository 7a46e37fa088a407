package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, and keeps the runs.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	spans   []*span
}

// span is a run of a task as its runner saw it.
type span struct {
	task, runner, pool string
	number             int
	from, to           time.Time // to is zero while it runs
	how                string
	isNoted            bool // its end was acknowledged, with no lapse of the runner's lease between
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: file}, nil
}

// event writes one line.
func (rec *recorder) event(kind, text string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write(kind, text)
}

func (rec *recorder) write(kind, text string) {
	if _, err := fmt.Fprintf(rec.file, "%9.3f %-12s %s\n", time.Since(rec.started).Seconds(), kind, text); err != nil {
		panic(err)
	}
}

func (rec *recorder) since(at time.Time) float64 { return at.Sub(rec.started).Seconds() }

func (rec *recorder) begin(runner, pool, task string, number int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.spans = append(rec.spans, &span{task: task, runner: runner, pool: pool, number: number, from: time.Now()})
	rec.write("start", fmt.Sprintf("runner %s pool %s task %s run %d", runner, pool, task, number))
}

func (rec *recorder) ended(runner, task string, number int, how string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, spn := range rec.spans {
		if spn.runner == runner && spn.task == task && spn.number == number && spn.to.IsZero() {
			spn.to, spn.how = time.Now(), how
		}
	}
	rec.write("end", fmt.Sprintf("runner %s task %s run %d %s", runner, task, number, how))
}

// acknowledged notes that the end of a run was acknowledged. If the runner's lease lapsed between the two,
// it does not count as taken note of.
func (rec *recorder) acknowledged(runner, task string, number int, hasLapsed bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, spn := range rec.spans {
		if spn.runner == runner && spn.task == task && spn.number == number && !spn.to.IsZero() {
			spn.isNoted = spn.isNoted || !hasLapsed
		}
	}
	rec.write("acknowledged", fmt.Sprintf("runner %s task %s run %d, lease lapsed between: %v", runner, task, number, hasLapsed))
}

// runsOf returns the runs of the tasks whose names begin so.
func (rec *recorder) runsOf(prefix string) []span {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var list []span
	for _, spn := range rec.spans {
		if strings.HasPrefix(spn.task, prefix) {
			list = append(list, *spn)
		}
	}
	return list
}

// twice returns the pairs of runs of one task that were at work at the same time, and those of which one
// began after the other had ended done, if that end was taken note of.
func (rec *recorder) twice() []string {
	var found []string
	runs := rec.runsOf("")
	slices.SortStableFunc(runs, func(one, two span) int { return one.from.Compare(two.from) })
	for i, one := range runs {
		for _, two := range runs[i+1:] {
			if one.task != two.task {
				continue
			}
			isOver := !one.to.IsZero() && !two.from.Before(one.to)
			if !isOver || one.how == "done" && one.isNoted {
				found = append(found, fmt.Sprintf("task %s: run %d on %s (%s) from %.3f, and run %d on %s (%s) from %.3f, when the first was %s",
					one.task, one.number, one.runner, one.pool, rec.since(one.from), two.number, two.runner, two.pool, rec.since(two.from),
					map[bool]string{true: one.how, false: "at work"}[isOver]))
			}
		}
	}
	return found
}
