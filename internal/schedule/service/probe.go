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
	methodAlive = "owner.alive"
	// probeTimeout bounds the question to an owner: 100 times the way between
	// availability zones and back, and shorter than a membership.
	probeTimeout = 400 * time.Millisecond
	// aliveWithin is how old an owner's membership may be: nearly as old as one that
	// lapses, so that whoever gets its partitions then finds the owner gone.
	aliveWithin = 1100 * time.Millisecond
)

// aliveForm is the question whether the asked entry owns something that an entry
// of the grade should leave to it.
type aliveForm struct {
	Name  string `json:"name"`
	Grade int    `json:"grade"`
}

// mayOwn reports whether the pool should be claimed here: it has no live owner that
// is as able, and no entry of a higher grade is there to claim it.
func (svc *Service) mayOwn(ctx context.Context, name string) bool {
	if svc.isOwned(ctx, name) {
		return false
	}
	isOutranked, err := group.IsOutranked(ctx, svc.cfg.Archive, group.GradeOf(svc.cfg.MilliCores))
	if err != nil {
		svc.cfg.Journal.Warn(time.Now(), "gradesUnread", slog.String("name", name), slog.String("error", err.Error()))
		return true // a pool without an owner is worse than one with a weak owner
	}
	return !isOutranked
}

// isOwned reports whether the newest claim is that of a live owner elsewhere. A
// wrong no costs a change of owner; its claim then fences the one before.
func (svc *Service) isOwned(ctx context.Context, name string) bool {
	address, err := claim.Find(ctx, svc.cfg.Archive, name)
	if err != nil {
		svc.cfg.Journal.Warn(time.Now(), "claimUnread", slog.String("name", name), slog.String("error", err.Error()))
		return true // without the store nothing can be claimed either
	}
	if address == "" || address == svc.cfg.PeerAddress {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer bool
	err = svc.link.Ask(ctx, address, methodAlive, aliveForm{Name: name, Grade: group.GradeOf(svc.cfg.MilliCores)}, &answer)
	if err != nil || !answer {
		svc.cfg.Journal.Event(time.Now(), "ownerNotAlive", slog.String("name", name), slog.String("address", address), slog.Bool("answered", err == nil))
	}
	return err == nil && answer
}

// passOver leaves a pool to its owner until the next look.
func (svc *Service) passOver(name string) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, name)
	svc.failedAt[name] = time.Now()
}

func (svc *Service) serveAlive(_ context.Context, params json.RawMessage) (any, error) {
	var in aliveForm
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "question for an owner")
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	isAble := group.GradeOf(svc.cfg.MilliCores) >= in.Grade
	isFresh := time.Since(svc.joinedAt) < aliveWithin && !svc.stopping.Load() && isAble
	if in.Name == steward.Name {
		return isFresh && svc.steward != nil, nil
	}
	return isFresh && svc.owners[in.Name] != nil, nil
}
