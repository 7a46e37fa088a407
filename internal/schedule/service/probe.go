package service

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/steward"
)

const (
	methodOwnership = "owner.standing"
	// probeTimeout bounds the question to an owner: 100 times the way between
	// availability zones and back, and a quarter of a membership.
	probeTimeout = 250 * time.Millisecond
	// aliveWithin is how old an owner's membership may be: nearly as old as one that
	// lapses, so that whoever gets its partitions then finds the owner gone.
	confirmationTTL = 900 * time.Millisecond
)

// standing is how an entry stands to something that it may own.
type ownershipStatus int

// Standings, as they are sent between entries.
const (
	notOwner ownershipStatus = iota // or is stopping, or is of a lower grade
	unconfirmedOwner
	confirmedOwner
)

// standingForm is the question how the asked entry stands to something, by an entry
// of the grade.
type ownershipQueryJSON struct {
	Name  string `json:"name"`
	Grade int    `json:"grade"`
}

// mayOwn reports whether the pool should be claimed here: it has no live owner that
// is as able, and no entry of a higher grade is there to claim it.
func (svc *Service) shouldClaim(ctx context.Context, name string) bool {
	sts := svc.queryOwnership(ctx, name)
	if sts == confirmedOwner {
		return false
	}
	isOutranked, err := group.IsOutranked(ctx, svc.cfg.Archive, group.GradeOf(svc.cfg.MilliCores))
	if err != nil {
		svc.cfg.Journal.Warn(time.Now(), "gradesUnread", slog.String("name", name), slog.String("error", err.Error()))
		isOutranked = false // a pool without an owner is worse than one with a weak owner
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	now := time.Now() // the questions may have outlasted an outage of the store
	return !isOutranked && svc.isConfirmed(now) && (sts == notOwner || !svc.isRecovering(now))
}

// standingOf returns how the entry of the newest claim stands to what it claimed. One
// that does not answer owns nothing; if it does after all, the next claim fences it,
// which costs a change of owner.
func (svc *Service) queryOwnership(ctx context.Context, name string) ownershipStatus {
	address, err := claim.Find(ctx, svc.cfg.Archive, name)
	if err != nil {
		svc.cfg.Journal.Warn(time.Now(), "claimUnread", slog.String("name", name), slog.String("error", err.Error()))
		return confirmedOwner // without the store nothing can be claimed either
	}
	if address == "" || address == svc.cfg.PeerAddress {
		return notOwner
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer ownershipStatus
	err = svc.link.Ask(ctx, address, methodOwnership, ownershipQueryJSON{Name: name, Grade: group.GradeOf(svc.cfg.MilliCores)}, &answer)
	if err != nil || answer != confirmedOwner {
		svc.cfg.Journal.Event(time.Now(), "ownerNotAlive", slog.String("name", name), slog.String("address", address),
			slog.Bool("answered", err == nil), slog.Int("standing", int(answer)))
	}
	if err != nil {
		return notOwner
	}
	return answer
}

// passOver leaves a pool to its owner until the next look.
func (svc *Service) deferClaim(name string) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, name)
	svc.failedAt[name] = time.Now()
}

func (svc *Service) serveOwnership(_ context.Context, params json.RawMessage) (any, error) {
	var in ownershipQueryJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "question for an owner")
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	isOwner := svc.owners[in.Name] != nil || in.Name == steward.Name && svc.controller != nil
	isGradeEnough := group.GradeOf(svc.cfg.MilliCores) >= in.Grade
	switch {
	case !isOwner || !isGradeEnough || svc.stopping.Load():
		return notOwner, nil
	case !svc.isConfirmed(time.Now()):
		return unconfirmedOwner, nil
	}
	return confirmedOwner, nil
}
