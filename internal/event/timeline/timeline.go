// Package timeline merges the event lines of all processes into one timeline.
package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine is the maximum length of an event line in bytes.
const maxLine = 1 << 20

// Event is one line of a journal.
type Event struct {
	At      time.Time
	Process string
	Zone    string
	Kind    string
	VM      string
	Details []string // name=value, sorted
	IsWarn  bool
}

// Timeline is a list of events, ordered by time.
type Timeline struct {
	events  []Event
	skipped int
}

// New returns an empty Timeline.
func New() *Timeline { return &Timeline{} }

// Read adds the events of one journal. Lines that are not events are skipped and
// counted.
func (tml *Timeline) Read(from io.Reader) error {
	scn := bufio.NewScanner(from)
	scn.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scn.Scan() {
		evt, ok := parse(scn.Bytes())
		if !ok {
			tml.skipped++
			continue
		}
		tml.events = append(tml.events, evt)
	}
	sort.SliceStable(tml.events, func(i, j int) bool { return tml.events[i].At.Before(tml.events[j].At) })
	return scn.Err()
}

func parse(line []byte) (Event, bool) {
	var fields map[string]any
	if json.Unmarshal(line, &fields) != nil {
		return Event{}, false
	}
	text := func(name string) string {
		value, ok := fields[name].(string)
		if !ok {
			return ""
		}
		delete(fields, name)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		return Event{}, false
	}
	evt := Event{At: at, Process: text("process"), Zone: text("zone"), Kind: text("msg"), VM: text("vm")}
	evt.IsWarn = text("level") == "WARN"
	for name, value := range fields {
		evt.Details = append(evt.Details, fmt.Sprintf("%s=%v", name, value))
	}
	sort.Strings(evt.Details)
	return evt, evt.Kind != ""
}

// Events returns the events in order.
func (tml *Timeline) Events() []Event { return append([]Event(nil), tml.events...) }

// Skipped returns how many lines were not events.
func (tml *Timeline) Skipped() int { return tml.skipped }

// Filter returns the events whose text contains word.
func (tml *Timeline) Filter(word string) *Timeline {
	out := New()
	for _, evt := range tml.events {
		if strings.Contains(evt.String(), word) {
			out.events = append(out.events, evt)
		}
	}
	return out
}

// String returns the event as one line of text.
func (evt Event) String() string {
	level := " "
	if evt.IsWarn {
		level = "!"
	}
	parts := []string{evt.At.UTC().Format("15:04:05.000"), level, evt.Zone, evt.Process, evt.Kind}
	if evt.VM != "" {
		parts = append(parts, "vm="+evt.VM)
	}
	return strings.Join(append(parts, evt.Details...), " ")
}

// WriteText writes one line per event.
func (tml *Timeline) WriteText(out io.Writer) error {
	for _, evt := range tml.events {
		if _, err := fmt.Fprintln(out, evt); err != nil {
			return err
		}
	}
	return nil
}
