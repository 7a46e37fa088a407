package timeline_test

import (
	"strings"
	"testing"

	"daisywheel/internal/event/timeline"
)

const journal = `{"time":"2026-12-04T08:00:00Z","level":"WARN","msg":"storeLost","process":"e1","pool":"gate"}
{"time":"2026-12-04T08:00:01Z","level":"INFO","msg":"jobStored","process":"e1","job":"00aa","pool":"gate"}
{"time":"2026-12-04T08:00:01Z","level":"INFO","msg":"jobStored","process":"e1","job":"00bb","pool":"gate"}
{"time":"2026-12-04T08:00:02Z","level":"INFO","msg":"taskFailed","process":"e1","task":"00aa.0.0.1","vm":"vm-1","pool":"gate"}
{"time":"2026-12-04T08:00:03Z","level":"WARN","msg":"vmUnanswered","process":"e1","vm":"vm-1"}
{"time":"2026-12-04T08:00:03Z","level":"WARN","msg":"vmUnanswered","process":"e1","vm":"vm-2"}
{"time":"2026-12-04T08:00:03Z","level":"WARN","msg":"storeLost","process":"e2","pool":"haul"}
{"time":"2026-12-04T08:00:04Z","level":"INFO","msg":"jobEnded","process":"e1","job":"00aa","state":"failed","pool":"gate"}
{"time":"2026-12-04T08:01:00Z","level":"WARN","msg":"storeLost","process":"e1","pool":"gate"}
`

func TestExplainShowsJobAndContext(t *testing.T) {
	tml := timeline.New()
	if err := tml.Read(strings.NewReader(journal)); err != nil {
		t.Fatal(err)
	}
	var kinds []string
	for _, evt := range tml.Explain("00aa").Events() {
		kinds = append(kinds, evt.Kind)
	}
	if got := strings.Join(kinds, " "); got != "storeLost jobStored taskFailed vmUnanswered jobEnded" {
		t.Errorf("got events %s", got)
	}
	if got := tml.Explain("00cc").Events(); len(got) > 0 {
		t.Errorf("got events %v for a job that no line names", got)
	}
}
