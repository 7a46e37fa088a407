package service

import (
	"encoding/json"
	"testing"
	"time"

	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/fleetcontroller"
	"daisywheel/internal/schedule/owner"
)

// Guards against a pool named fleet and the fleet controller being taken for each other in an ownership query. An entry of an
// earlier version, whose query says only fleet, is told of either, so that it claims neither.
func TestOwnershipOfAPoolNamedFleet(t *testing.T) {
	fleet, pool := newOwnershipQuery(claim.Fleet(), 6), newOwnershipQuery(claim.Pool("fleet"), 6)
	earlier := ownershipQueryJSON{Name: "fleet", Grade: 6}
	for _, tst := range []struct {
		name          string
		hasController bool
		hasPool       bool
		query         ownershipQueryJSON
		want          ownershipStatus
	}{
		{"fleet asked of the controller", true, false, fleet, confirmedOwner},
		{"pool asked of the controller", true, false, pool, notOwner},
		{"fleet asked of the pool's owner", false, true, fleet, notOwner},
		{"pool asked of the pool's owner", false, true, pool, confirmedOwner},
		{"asked of the controller by an earlier version", true, false, earlier, confirmedOwner},
		{"asked of the pool's owner by an earlier version", false, true, earlier, confirmedOwner},
		{"asked of another by an earlier version", false, false, earlier, notOwner},
		{"other pool asked of the controller by an earlier version", true, true, ownershipQueryJSON{Name: "gate", Grade: 6}, notOwner},
	} {
		svc := &Service{confirmedAt: time.Now(), owners: map[string]*owner.Owner{}}
		if tst.hasController {
			svc.controller = &fleetcontroller.Controller{}
		}
		if tst.hasPool {
			svc.owners["fleet"] = &owner.Owner{}
		}
		params, err := json.Marshal(tst.query)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := svc.serveOwnership(t.Context(), params); err != nil || got != tst.want {
			t.Errorf("%s: status %v, %v, want %v", tst.name, got, err, tst.want)
		}
	}
	var old struct {
		Name  string `json:"name"`
		Grade int    `json:"grade"`
	}
	for _, query := range []ownershipQueryJSON{fleet, pool} {
		data, err := json.Marshal(query)
		if err == nil {
			err = json.Unmarshal(data, &old)
		}
		if err != nil || old.Name != "fleet" || old.Grade != 6 {
			t.Errorf("an earlier version reads %+v from %s, %v", old, data, err)
		}
	}
}
