package fleetcontroller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/kernel/boottime"
	"daisywheel/internal/schedule/statelog"
)

// reportWaves reports the state of the waves to the operator when it has changed. A controller
// that was replaced may know an old request or list, so the term is proved before.
func (ctl *Controller) reportWaves(now time.Time) {
	provenAt, due := boottime.Now(), ctl.wavesToReport(now)
	if len(due) == 0 && ctl.unansweredReport == nil || !ctl.provesTerm(now) {
		return
	}
	if ctl.unansweredReport != nil && !ctl.sendReport(now, *ctl.unansweredReport) {
		return
	}
	for _, number := range due {
		rpt, isDue := ctl.dueReport(now, number) // meanwhile the request may have changed
		if !isDue || boottime.Now()-provenAt > maxProofAge {
			continue
		}
		if !ctl.sendReport(now, ctl.nextReport(number, rpt.state == completed)) {
			return
		}
		ctl.mu.Lock()
		rpt.wave.reported = rpt.state
		ctl.mu.Unlock()
		ctl.cfg.Journal.Event(now, "waveReported", append([]slog.Attr{slog.Int64("wave", number), slog.Bool("completed", rpt.state == completed)}, rpt.basis...)...)
	}
}

// nextReport returns the next report of the term.
func (ctl *Controller) nextReport(number int64, isCompleted bool) directory.WaveReport {
	ctl.reportSeq++
	return directory.WaveReport{Number: number, IsCompleted: isCompleted, Term: ctl.clm.FencingToken(), Seq: ctl.reportSeq}
}

// sendReport sends a report and returns whether it was carried out. One without an answer is sent
// again before any other, though its wave may have another state by now: the log takes reports
// in their order, and a late one then counts as a repetition.
func (ctl *Controller) sendReport(now time.Time, rpt directory.WaveReport) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	err := ctl.cfg.Directory.ReportWave(ctx, rpt)
	cancel()
	isRepeated := ctl.unansweredReport != nil
	switch {
	case err == nil:
		ctl.unansweredReport = nil
		return true
	case errors.Is(err, statelog.ErrFenced):
		ctl.setLost(now, "a later fleet controller has reported waves")
	case errors.Is(err, statelog.ErrNotAppended) && !isRepeated:
		ctl.reportSeq--
	default:
		ctl.unansweredReport = &rpt
	}
	ctl.cfg.Journal.Warn(now, "waveUnreported", slog.Int64("wave", rpt.Number), slog.Int64("seq", rpt.Seq), slog.String("error", err.Error()))
	return false
}

type waveReport struct {
	wave  *wave
	state waveState
	basis []slog.Attr // what the state rests on
}

// wavesToReport returns the numbers of the waves whose state has to be reported.
func (ctl *Controller) wavesToReport(now time.Time) []int64 {
	ctl.mu.Lock()
	numbers := slices.Collect(maps.Keys(ctl.waves))
	ctl.mu.Unlock()
	return slices.DeleteFunc(numbers, func(number int64) bool {
		_, isDue := ctl.dueReport(now, number)
		return !isDue
	})
}

// dueReport returns the present state of a wave, and whether it has to be reported.
func (ctl *Controller) dueReport(now time.Time, number int64) (waveReport, bool) {
	ctl.mu.Lock()
	defer ctl.unlock()
	rpt := waveReport{wave: ctl.waves[number], state: inProgress}
	if ctl.isCompleted(rpt.wave) {
		rpt.state = completed
	}
	// An earlier controller may have reported the wave as completed when nothing is left but
	// machines that are probably gone.
	due, missing := ctl.countUndone(rpt.wave)
	isNearlyCompleted := due == 0 && missing > 0 && len(rpt.wave.done) > 0 && !rpt.wave.isReplaced
	if !rpt.wave.isRequested || rpt.wave.reported >= rpt.state || rpt.state == inProgress && isNearlyCompleted {
		return rpt, false
	}
	rpt.basis = ctl.basis(now, rpt.wave)
	return rpt, true
}

// basis returns what the state of a wave rests on, for the log. A machine that is neither done
// nor listed is absent.
func (ctl *Controller) basis(now time.Time, wav *wave) []slog.Attr {
	done, absent := 0, []string{}
	for _, name := range wav.request.Machines {
		_, isListed := ctl.machines[name]
		switch {
		case wav.done[name]:
			done++
		case !isListed:
			absent = append(absent, name)
		}
	}
	listAge := time.Duration(-1) // no list yet
	if !ctl.listedAt.IsZero() {
		listAge = now.Sub(ctl.listedAt)
	}
	return []slog.Attr{
		slog.Int("machines", len(wav.request.Machines)), slog.Int("done", done), slog.Int("absent", len(absent)),
		slog.String("absentMachines", strings.Join(absent[:min(len(absent), maxAbsentLogged)], " ")),
		slog.Duration("listAge", listAge), slog.Int64("fence", ctl.clm.FencingToken()),
	}
}

// maxAbsentLogged bounds how many absent machines a log line names.
const maxAbsentLogged = 5
