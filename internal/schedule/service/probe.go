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
	methodStanding = "owner.standing"
	// probeTimeout bounds the question to an owner: 100 times the way between
	// availability zones and back, and a quarter of a membership.
	probeTimeout = 250 * time.Millisecond
	// aliveWithin is how old an owner's membership may be: nearly as old as one that
	// lapses, so that whoever gets its partitions then finds the owner gone.
	aliveWithin = 900 * time.Millisecond
)

// standing is how an entry stands to something that it may own.
type standing int

// Standings, as they are sent between entries.
const (
	ownsNot standing = iota // or is stopping, or is of a lower grade
	unconfirmed
	owns
)

// standingForm is the question how the asked entry stands to something, by an entry
// of the grade.
type standingForm struct {
	Name  string `json:"name"`
	Grade int    `json:"grade"`
}

// mayOwn reports whether the pool should be claimed here: it has no live owner that
// is as able, and no entry of a higher grade is there to claim it.
func (svc *Service) mayOwn(ctx context.Context, name string) bool {
	std := svc.standingOf(ctx, name)
	if std == owns {
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
	return !isOutranked && svc.isConfirmed(now) && (std == ownsNot || !svc.hasOutage(now))
}

// standingOf returns how the entry of the newest claim stands to what it claimed. One
// that does not answer owns nothing; if it does after all, the next claim fences it,
// which costs a change of owner.
func (svc *Service) standingOf(ctx context.Context, name string) standing {
	address, err := claim.Find(ctx, svc.cfg.Archive, name)
	if err != nil {
		svc.cfg.Journal.Warn(time.Now(), "claimUnread", slog.String("name", name), slog.String("error", err.Error()))
		return owns // without the store nothing can be claimed either
	}
	if address == "" || address == svc.cfg.PeerAddress {
		return ownsNot
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer standing
	err = svc.link.Ask(ctx, address, methodStanding, standingForm{Name: name, Grade: group.GradeOf(svc.cfg.MilliCores)}, &answer)
	if err != nil || answer != owns {
		svc.cfg.Journal.Event(time.Now(), "ownerNotAlive", slog.String("name", name), slog.String("address", address),
			slog.Bool("answered", err == nil), slog.Int("standing", int(answer)))
	}
	if err != nil {
		return ownsNot
	}
	return answer
}

// passOver leaves a pool to its owner until the next look.
func (svc *Service) passOver(name string) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, name)
	svc.failedAt[name] = time.Now()
}

func (svc *Service) serveStanding(_ context.Context, params json.RawMessage) (any, error) {
	var in standingForm
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "question for an owner")
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	isOwner := svc.owners[in.Name] != nil || in.Name == steward.Name && svc.steward != nil
	isAble := group.GradeOf(svc.cfg.MilliCores) >= in.Grade
	switch {
	case !isOwner || !isAble || svc.stopping.Load():
		return ownsNot, nil
	case !svc.isConfirmed(time.Now()):
		return unconfirmed, nil
	}
	return owns, nil
}
