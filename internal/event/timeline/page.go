package timeline

import (
	_ "embed"
	"encoding/json"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

// eventJSON is one event of one lane of the page.
type eventJSON struct {
	At     int64  `json:"at"` // microseconds since the first event
	Lane   string `json:"lane"`
	Kind   string `json:"kind"`
	Text   string `json:"text"`
	IsWarn bool   `json:"isWarn"`
}

// WritePage writes a self-contained HTML page with a lane per process and per VM,
// with zoom and filter.
func (tml *Timeline) WritePage(out io.Writer) error {
	page, err := template.New("page").Parse(pageText)
	if err != nil {
		return err
	}
	events := []eventJSON{}
	for _, evt := range tml.events {
		since := evt.At.Sub(tml.events[0].At).Microseconds()
		events = append(events, eventJSON{At: since, Lane: evt.Process, Kind: evt.Kind, Text: evt.String(), IsWarn: evt.IsWarn})
		if evt.VM != "" {
			events = append(events, eventJSON{At: since, Lane: "vm " + evt.VM, Kind: evt.Kind, Text: evt.String(), IsWarn: evt.IsWarn})
		}
	}
	data, err := json.Marshal(events)
	if err != nil {
		return err
	}
	return page.Execute(out, template.JS(data))
}
