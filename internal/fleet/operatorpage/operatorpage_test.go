package operatorpage_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/fleet/operatorpage"
	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
)

func TestPageIsPassedOnWithoutKeys(t *testing.T) {
	orgs := organisation.NewSet()
	if err := orgs.Add(organisation.Organisation{Name: "acme", Weight: 2, Cap: plan.Demand{MilliCores: 5, MemoryMB: 6, GPUs: 7}}, []string{"secret-1", "secret-2"}); err != nil {
		t.Fatal(err)
	}
	queues := []queue.Queue{
		{Name: "q", Host: "h", Prefix: "/p/", Pool: "s", Priority: 1, MaxAttempts: 3, DeadlineFactor: 1.6, LatencyGoal: time.Second, NeedsKey: true},
		{Name: "r", Host: "h", Prefix: "/r/", Pool: "s", NeedsAdvice: true},
	}
	pools := []queue.Pool{{Name: "s"}, {Name: "t", IsStandby: true}}
	page := directory.OperatorPage{Next: 9, HasMore: true, IsSnapshot: true, Records: []directory.OperatorRecord{
		{Table: queue.NewTable(7, queues, pools).WithMaxBody(9000).WithOrganisations(orgs)}, {Table: queue.NewTable(6, queues, pools)},
		{Wave: &maintenance.Wave{Number: 3, Machines: []string{"m"}, Within: time.Minute, Cap: 2}},
	}}
	data, err := operatorpage.Encode(page)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(data), "secret") {
		t.Errorf("the page has a key: %s", data)
	}
	got, err := operatorpage.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, page) {
		t.Errorf("got %+v, want %+v", got, page)
	}
	if name, ok := got.Records[0].Table.Organisations().OfKey("secret-2"); !ok || name != "acme" {
		t.Errorf("key is of %q", name)
	}
}

func TestUnreadablePages(t *testing.T) {
	data, err := operatorpage.Encode(directory.OperatorPage{Records: []directory.OperatorRecord{{Err: errors.New("odd")}}})
	if err != nil {
		t.Fatal(err)
	}
	if page, err := operatorpage.Decode(data); err != nil || len(page.Records) != 1 || page.Records[0].Err == nil {
		t.Errorf("an unreadable record is passed on as %+v, %v", page, err)
	}
	for _, text := range []string{`{`, `{"records":[{}]}`, `{"records":[{"table":{"hasOrganisations":true,"organisations":[{"name":"a","digests":["zz"]}]}}]}`} {
		if _, err := operatorpage.Decode(json.RawMessage(text)); err == nil {
			t.Errorf("%s is accepted", text)
		}
	}
}
