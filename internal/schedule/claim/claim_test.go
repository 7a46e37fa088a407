package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// names has names that earlier versions of the program gave the same key, and neighbours of the present keys.
var names = []claim.Name{
	claim.Fleet(), claim.Pool("fleet"), claim.Pool("pool:fleet"), claim.Pool("pool:pool:fleet"), claim.Pool(""), claim.Pool("pool:"),
	claim.Pool("pool"), claim.Pool("waves"), claim.Pool("gate"), claim.Pool("gate "), claim.Pool("café"), claim.Pool(`mill "B"`), claim.Pool("a/j"),
}

const topic = "cells"

// testBase is what *testing.T and *rapid.T have in common.
type testBase interface {
	rapid.TB
	Context() context.Context
}

// earlier is the owner of a claim as versions before key formats stored and checked it.
type earlier struct {
	log statelog.Client
	key string
}

func earlierOf(log statelog.Client, name claim.Name) earlier {
	if pool, ok := name.Pool(); ok {
		return earlier{log, pool}
	}
	return earlier{log, "fleet"}
}

func (ear earlier) last(t testBase) (term int, token int64) {
	rec, ok, err := ear.log.Lookup(t.Context(), topic, 0, ear.key)
	if err != nil {
		t.Fatal(err)
	}
	if !ok {
		return 0, 0
	}
	var clm struct {
		Term int `json:"term"`
	}
	if err := json.Unmarshal(rec.Value, &clm); err != nil {
		t.Fatal(err)
	}
	return clm.Term, rec.Offset + 1
}

func (ear earlier) acquire(t testBase, address string) (term int, token int64) {
	last, _ := ear.last(t)
	value := fmt.Sprintf(`{"address":%q,"term":%d,"registersRoutes":true}`, address, last+1)
	offset, err := ear.log.Append(t.Context(), statelog.AppendRequest{
		Topic: topic, ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{{Key: ear.key, Value: []byte(value)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return last + 1, offset + 1
}

// holder is whoever has claimed a name.
type holder struct {
	name     claim.Name
	earlier  *earlier // of an earlier version, or nil
	term     int
	token    int64
	hasLost  bool
	isNobody bool // stored by Supersede
}

func (hld *holder) isNewest(t testBase, log statelog.Client) bool {
	if hld.earlier != nil {
		_, token := hld.earlier.last(t)
		return token == hld.token
	}
	is, err := claim.IsNewest(t.Context(), log, hld.name, hld.token)
	if err != nil {
		t.Fatal(err)
	}
	return is
}

// A pool named fleet and the fleet controller ended each other's terms. Claims of one name end no term of another.
func TestNamesDoNotShareClaims(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	tokens := map[claim.Name]int64{}
	for round := 1; round <= 2; round++ {
		for i, name := range names {
			clm, err := claim.Acquire(t.Context(), log, name, strconv.Itoa(i))
			if err != nil {
				t.Fatal(err)
			}
			tokens[name] = clm.FencingToken()
		}
		for i, name := range names {
			address, err := claim.FindOwner(t.Context(), log, name)
			if err != nil || address != strconv.Itoa(i) {
				t.Errorf("owner of %v is %q, %v, want %d", name, address, err, i)
			}
			if is, err := claim.IsNewest(t.Context(), log, name, tokens[name]); err != nil || !is {
				t.Errorf("claim of %v is the newest: %v, %v", name, is, err)
			}
		}
	}
	pools, err := claim.PoolTokens(t.Context(), log)
	if err != nil || len(pools) != len(names)-1 {
		t.Errorf("%d pools with claims, %v, want %d", len(pools), err, len(names)-1)
	}
	for _, name := range names[1:] {
		if pool, _ := name.Pool(); pools[pool] != tokens[name] {
			t.Errorf("token of pool %q is %d, want %d", pool, pools[pool], tokens[name])
		}
	}
}

// A claim in a log of an earlier version is found, and its terms go on, also those under a key that is no longer used.
func TestClaimsOfEarlierVersionsGoOn(t *testing.T) {
	for _, name := range names {
		log := logstore.New(logstore.Config{}).Client()
		ear := earlierOf(log, name)
		ear.acquire(t, "10.0.0.1:1")
		_, token := ear.acquire(t, "10.0.0.2:1")
		if address, err := claim.FindOwner(t.Context(), log, name); err != nil || address != "10.0.0.2:1" {
			t.Errorf("owner of %v: %q, %v", name, address, err)
		}
		if newest, isRegistering, err := claim.Newest(t.Context(), log, name); err != nil || newest != token || !isRegistering {
			t.Errorf("newest claim of %v: %d, %v, %v, want %d", name, newest, isRegistering, err, token)
		}
		clm, err := claim.Acquire(t.Context(), log, name, "10.0.0.3:1")
		if err != nil || clm.Term() != 3 || clm.FencingToken() <= token {
			t.Errorf("claim of %v: %+v, %v, want term 3", name, clm, err)
		}
		if _, last := ear.last(t); last == token {
			t.Errorf("the owner of %v of an earlier version does not find that its term has ended", name)
		}
		if term, _ := ear.acquire(t, "10.0.0.4:1"); term != 4 {
			t.Errorf("term %d of %v after a claim of the present version, want 4", term, name)
		}
		if is, err := claim.IsNewest(t.Context(), log, name, clm.FencingToken()); err != nil || is {
			t.Errorf("claim of %v is the newest after one of an earlier version: %v, %v", name, is, err)
		}
	}
}

// A claim of an earlier version that a pool named fleet has taken up is none of the fleet, which may be claimed at once.
func TestNobodyActsByAClaimThatWasTakenUp(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	earlierOf(log, claim.Fleet()).acquire(t, "10.0.0.1:1")
	if _, err := claim.Acquire(t.Context(), log, claim.Pool("fleet"), "10.0.0.2:1"); err != nil {
		t.Fatal(err)
	}
	if token, _, err := claim.Newest(t.Context(), log, claim.Fleet()); err != nil || token != 0 {
		t.Errorf("the fleet is claimed with the token %d, %v, want none", token, err)
	}
}

// Entries of an earlier and of the present version claim side by side. At most one holds a name, no term that has ended goes on,
// and terms of a name and fencing tokens rise.
func TestVersionsClaimSideBySide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := logstore.New(logstore.Config{}).Client()
		var holders []*holder
		terms := map[claim.Name]int{}
		lastToken := int64(0)
		for range rapid.IntRange(1, 25).Draw(t, "claims") {
			hld := &holder{name: names[rapid.IntRange(0, 4).Draw(t, "name")]}
			switch rapid.IntRange(0, 4).Draw(t, "how") {
			case 0, 1:
				ear := earlierOf(log, hld.name)
				hld.earlier = &ear
				hld.term, hld.token = ear.acquire(t, "")
			case 2:
				clm, err := claim.Supersede(t.Context(), log, hld.name)
				if err != nil {
					t.Fatal(err)
				}
				hld.term, hld.token, hld.isNobody = clm.Term(), clm.FencingToken(), true
			default:
				clm, err := claim.Acquire(t.Context(), log, hld.name, "")
				if err != nil {
					t.Fatal(err)
				}
				hld.term, hld.token = clm.Term(), clm.FencingToken()
			}
			if hld.term <= terms[hld.name] || hld.token <= lastToken {
				t.Fatalf("%v has term %d and token %d after term %d and token %d", hld.name, hld.term, hld.token, terms[hld.name], lastToken)
			}
			terms[hld.name], lastToken = hld.term, hld.token
			holders = append(holders, hld)
			held := map[claim.Name]bool{}
			for _, hld := range holders {
				if hld.isNobody {
					continue
				}
				isNewest := hld.isNewest(t, log)
				if isNewest && hld.hasLost {
					t.Fatalf("the term of claim %d of %v has ended and goes on", hld.token, hld.name)
				}
				hld.hasLost = !isNewest
				if isNewest && held[hld.name] {
					t.Fatalf("two hold %v", hld.name)
				}
				held[hld.name] = held[hld.name] || isNewest
			}
		}
	})
}
