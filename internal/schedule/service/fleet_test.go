package service

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/schedule/owner"
)

// A fleet controller of this version answers owners of earlier ones, which report no revisions, as
// those expect; an owner of this version takes no end of a VM from an answer that names no revision.
func TestReportRepliesBetweenVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	var old struct {
		Terminated []string `json:"ended"`
	}
	var msg poolJSON
	if err := json.Unmarshal([]byte(`{"name":"gate","vms":[{"id":"a","isSilent":true}]}`), &msg); err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(newReportReply(nil, decodePool(now, msg).VMs, nil))
	if err == nil {
		err = json.Unmarshal(data, &old)
	}
	if err != nil || !slices.Equal(old.Terminated, []string{"a"}) {
		t.Errorf("an owner of an earlier version reads %v (%v) from %s, want a", old.Terminated, err, data)
	}
	var rpl reportReplyJSON
	if err := json.Unmarshal([]byte(`{"leaving":["b"],"ended":["a"]}`), &rpl); err != nil {
		t.Fatal(err)
	}
	if ended := rpl.endedVMs(); len(ended) != 0 || !slices.Equal(rpl.Evacuating, []string{"b"}) {
		t.Errorf("of an earlier controller's answer %+v, VMs %v end", rpl, ended)
	}
	if pol := decodePool(now, msg); pol.HasAcks {
		t.Error("an owner of an earlier version acknowledges answers")
	}
	pol := decodePool(now, encodePool(now, balance.Pool{HasAcks: true, AckedTerm: 3, AckedAt: time.Minute}))
	if !pol.HasAcks || pol.AckedTerm != 3 || pol.AckedAt != time.Minute {
		t.Errorf("acknowledgement %v of term %d at %s, want term 3 at 1m", pol.HasAcks, pol.AckedTerm, pol.AckedAt)
	}
	reported := encodePool(now, balance.Pool{VMs: []balance.VM{{ID: "a", IsUnresponsive: true, Revision: 7}}})
	rpl = newReportReply(nil, decodePool(now, reported).VMs, nil)
	if ended := rpl.endedVMs(); len(ended) != 1 || ended[0].ID != "a" || ended[0].Revision != 7 || len(rpl.Terminated) != 0 {
		t.Errorf("answer %+v to a report of this version, want the end of a at revision 7", rpl)
	}
}

// Guards against an evacuation that is lifted by a former fleet controller while the present one orders the VM
// away.
func TestReplyOfAFormerControllerIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	svc := &Service{cfg: Config{Journal: journal.New(journal.Config{})}, evacuations: map[string]evacuation{}, owners: map[string]*owner.Owner{}}
	own := &owner.Owner{} // of a term that is over, so that the reply is only noted
	svc.applyReportReply(now, own, "gate", reportReplyJSON{Evacuating: []string{"a"}, Term: 7, Stamp: 1}, nil)
	svc.applyReportReply(now.Add(time.Second), own, "gate", reportReplyJSON{Evacuating: []string{"b"}, Term: 5, Stamp: 2}, nil)
	if evc := svc.evacuations["gate"]; !evc.vms["a"] || evc.vms["b"] || evc.term != 7 {
		t.Errorf("evacuation %+v, want that of the term 7", evc)
	}
	svc.applyReportReply(now.Add(2*time.Second), own, "gate", reportReplyJSON{Evacuating: []string{"b"}}, nil)
	if evc := svc.evacuations["gate"]; !evc.vms["b"] {
		t.Errorf("evacuation %+v, want that of the controller of an earlier version", evc)
	}
}
