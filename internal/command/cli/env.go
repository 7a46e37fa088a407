package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/operator/client"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Environment variables that give the defaults of flags.
const (
	envOperator = "DAISYWHEEL_OPERATOR"
	envToken    = "DAISYWHEEL_TOKEN"
)

// env is what all commands share: the outputs, the operator's flags and the client.
type env struct {
	out    io.Writer
	diag   io.Writer
	format string
	author string
	client *client.Client
}

func newEnv(out, diag io.Writer) *env {
	author := "operator"
	if usr, err := user.Current(); err == nil && usr.Username != "" {
		author = usr.Username
	}
	return &env{out: out, diag: diag, format: "text", author: author}
}

// flags returns a flag set that writes its usage to the diagnostic output and returns
// errors instead of exiting.
func (env *env) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet("daisywheel "+name, flag.ContinueOnError)
	set.SetOutput(env.diag)
	return set
}

// parse parses flags, which may stand between the arguments, and returns the arguments.
func parse(set *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for {
		if err := set.Parse(args); err != nil {
			return nil, fault.New(code.BadUsage, "%v", err)
		}
		if set.NArg() == 0 {
			return rest, nil
		}
		rest = append(rest, set.Arg(0))
		args = set.Args()[1:]
	}
}

// connect adds the operator's flags to set, parses args and creates the client. It
// returns the arguments and requires want of them, any number if want is negative.
func (env *env) connect(set *flag.FlagSet, args []string, want int) ([]string, error) {
	operator := set.String("operator", os.Getenv(envOperator), "operator addresses, separated by commas ($"+envOperator+")")
	token := set.String("token", os.Getenv(envToken), "operator's token ($"+envToken+")")
	set.StringVar(&env.format, "o", "text", "output: text or json")
	set.StringVar(&env.author, "by", env.author, "name that the change is recorded under")
	rest, err := parse(set, args)
	if err != nil {
		return nil, err
	}
	if env.format != "text" && env.format != "json" {
		return nil, fault.New(code.BadUsage, "-o is %q, must be text or json", env.format)
	}
	if want >= 0 && len(rest) != want {
		return nil, fault.New(code.BadUsage, "%s takes %d arguments, got %d", set.Name(), want, len(rest))
	}
	var addresses []string
	for _, address := range strings.Split(*operator, ",") {
		if address != "" {
			addresses = append(addresses, address)
		}
	}
	env.client = client.New(client.Config{Addresses: addresses, Token: *token})
	return rest, nil
}

// get fetches path into out and, when the output format is JSON, prints it. It reports
// whether it has printed.
func (env *env) get(path string, out any) (bool, error) {
	if err := env.client.Get(context.Background(), path, out); err != nil {
		return false, err
	}
	if env.format != "json" {
		return false, nil
	}
	return true, env.printJSON(out)
}

func (env *env) printJSON(out any) error {
	enc := json.NewEncoder(env.out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(out), "print")
}

// change sends a change and prints the result. In the text format the result begins
// with summary.
func (env *env) change(method, path string, in any, summary string) error {
	ans, err := env.client.Change(context.Background(), method, path, in)
	if env.format == "json" && ans.Name != "" {
		if printErr := env.printJSON(ans); printErr != nil {
			return printErr
		}
	}
	if err != nil && ans.Row != nil && env.format == "text" {
		env.printf("the row is now at revision %d, changed by %s\n", ans.Row.Rev, ans.Row.Author)
	}
	if err != nil {
		return err
	}
	if env.format == "json" {
		return nil
	}
	effect := fmt.Sprintf("in force everywhere after %d ms", ans.InForceMs)
	if len(ans.LaggingEntries) > 0 {
		effect = "not yet in force at " + strings.Join(ans.LaggingEntries, ", ")
	}
	env.printf("%s: accepted at offset %d, %s\n", summary, ans.Offset, effect)
	return nil
}

func (env *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(env.out, format, args...)
}

// columns prints the header and the lines, all with tab-separated cells, as aligned
// columns.
func (env *env) columns(header string, lines []string) {
	wrt := tabwriter.NewWriter(env.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(wrt, header)
	for _, line := range lines {
		_, _ = fmt.Fprintln(wrt, line)
	}
	_ = wrt.Flush()
}

// interrupted returns a channel that is closed by SIGINT or SIGTERM.
func interrupted() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	quit := make(chan struct{})
	go func() {
		<-signals
		close(quit)
	}()
	return quit
}
