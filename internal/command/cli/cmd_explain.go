package cli

import (
	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/timeline"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

var cmdExplain = command{
	name:    "explain",
	args:    "ID JOURNAL...",
	summary: "show what the logs of all processes say of a job and of the world around it",
	run:     runExplain,
}

func runExplain(env *env, args []string) error {
	rest, err := parse(env.flags("explain"), args)
	if err != nil {
		return err
	}
	if len(rest) < 2 {
		return fault.New(code.BadUsage, "explain takes the id of a job and the journals of the processes")
	}
	tml := timeline.New()
	for _, path := range rest[1:] {
		if err := readJournal(tml, path); err != nil {
			return err
		}
	}
	shown := tml.Explain(rest[0])
	if len(shown.Events()) == 0 {
		return fault.New(code.UnknownJob, "no line of the journals names job %s", rest[0])
	}
	return errors.Wrap(shown.WriteText(env.out), "explain")
}
