package cli

import (
	"os"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/timeline"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

var cmdTimeline = command{
	name:    "timeline",
	args:    "[-html FILE] [-filter WORD] JOURNAL...",
	summary: "merge the event lines of all processes into one time line",
	run:     runTimeline,
}

func runTimeline(env *env, args []string) error {
	set := env.flags("timeline")
	page := set.String("html", "", "write a page to this file instead of text")
	word := set.String("filter", "", "only events that contain the word")
	rest, err := parse(set, args)
	if err != nil {
		return err
	}
	if len(rest) == 0 {
		return fault.New(code.BadUsage, "timeline takes the journals of the processes")
	}
	tml := timeline.New()
	for _, path := range rest {
		if err := readJournal(tml, path); err != nil {
			return err
		}
	}
	shown := tml.Filter(*word)
	if *page == "" {
		return errors.Wrap(shown.WriteText(env.out), "write timeline")
	}
	file, err := os.Create(*page)
	if err != nil {
		return errors.Wrap(err, "timeline page")
	}
	if err := shown.WritePage(file); err != nil {
		return errors.Wrap(err, "timeline page")
	}
	env.printf("%s: %d events of %d journals, %d lines skipped\n", *page, len(shown.Events()), len(rest), tml.Skipped())
	return errors.Wrap(file.Close(), "timeline page")
}

func readJournal(tml *timeline.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(err, code.BadUsage, "journal")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrapf(tml.Read(file), "journal %s", path)
}
