package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/configcheck"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/platform/configfile"
)

var cmdConfig = command{
	name:    "config",
	args:    "check",
	summary: "check a configuration of the users' platform before it is sent",
	run: func(env *env, args []string) error {
		return dispatchSub(env, "config", configCommands, args)
	},
}

var configCommands = []command{
	{"check", "[-against FILE|live] [-json] FILE", "check a configuration; exit 0 nothing to mend, 1 errors, 2 not accepted by entries", configCheck},
}

// live stands for the configuration in force.
const live = "live"

// errFindings makes config check exit with code 1 and no message.
var errFindings = errors.New("the configuration has errors")

// findingJSON is one finding, for scripts.
type findingJSON struct {
	Level string `json:"level"`
	Line  int    `json:"line,omitempty"`
	Path  string `json:"path"`
	Text  string `json:"text"`
	Fix   string `json:"fix,omitempty"`
}

func configCheck(env *env, args []string) error {
	set := env.flags("config check")
	against := set.String("against", "", "compare with a file, or with the version in force (live)")
	isJSON := set.Bool("json", false, "print JSON lines")
	rest, err := parse(set, args)
	if err != nil {
		return err
	}
	if len(rest) != 1 {
		return fault.New(code.BadUsage, "config check takes one file")
	}
	file, err := configfile.Read(rest[0])
	if err != nil {
		return fault.Wrap(err, code.BadTable, "%s", rest[0])
	}
	findings := configcheck.Check(file.Table())
	if *against != "" {
		inForce, err := readInForce(*against)
		if err != nil {
			return fault.Wrap(err, code.BadTable, "%s", *against)
		}
		findings = append(findings, configcheck.Changes(inForce, file.Table())...)
	}
	hasErrors := false
	for _, fnd := range findings {
		hasErrors = hasErrors || fnd.Level == configcheck.Error
		if err := printFinding(env, fnd, file.Line(nameIn(fnd.Path)), *isJSON); err != nil {
			return err
		}
	}
	if hasErrors {
		return errFindings
	}
	return nil
}

// readInForce reads the configuration to compare with.
func readInForce(against string) (*queue.Table, error) {
	if against == live {
		return configfile.InForce(context.Background())
	}
	file, err := configfile.Read(against)
	if err != nil {
		return nil, err
	}
	return file.Table(), nil
}

// nameIn returns the name in a path such as queues["name"].
func nameIn(path string) string {
	_, rest, _ := strings.Cut(path, `["`)
	return strings.TrimSuffix(rest, `"]`)
}

func printFinding(env *env, fnd configcheck.Finding, line int, isJSON bool) error {
	if isJSON {
		data, err := json.Marshal(findingJSON{Level: string(fnd.Level), Line: line, Path: fnd.Path, Text: fnd.Text, Fix: fnd.Fix})
		if err != nil {
			return errors.Wrap(err, "finding")
		}
		_, err = fmt.Fprintf(env.out, "%s\n", data)
		return errors.Wrap(err, "output")
	}
	place := fnd.Path
	if line > 0 {
		place = fmt.Sprintf("line %d: %s", line, fnd.Path)
	}
	text := fmt.Sprintf("%s: %s: %s", fnd.Level, place, fnd.Text)
	if fnd.Fix != "" {
		text += "; " + fnd.Fix
	}
	_, err := fmt.Fprintln(env.out, text)
	return errors.Wrap(err, "output")
}
