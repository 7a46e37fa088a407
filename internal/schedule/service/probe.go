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
)

const (
	methodOwnership = "owner.standing"
	// probeTimeout bounds an ownership query: 100 round trips between availability
	// zones, and a quarter of the membership TTL.
	probeTimeout = 250 * time.Millisecond
	// confirmationTTL is how long a confirmation of the membership counts. It is just
	// below the membership TTL, so that an entry that is assigned the partitions of an
	// expired member finds that this member no longer counts as an owner.
	confirmationTTL = 900 * time.Millisecond
)

// ownershipStatus says whether an entry owns a pool or runs the fleet controller.
type ownershipStatus int

// Ownership statuses, as they are sent between entries.
const (
	notOwner         ownershipStatus = iota // or is stopping, or is of a lower grade than the asking entry
	unconfirmedOwner                        // owns it, but its membership is not confirmed
	confirmedOwner
)

// ownershipQueryJSON asks an entry for its ownership status. Grade is that of the
// asking entry.
type ownershipQueryJSON struct {
	Name  string `json:"name"` // the pool, or fleetName
	Kind  string `json:"kind,omitempty"`
	Grade int    `json:"grade"`
}

// Kinds of names in an ownership query. Earlier versions of the program send none, so that a pool may be taken for the fleet.
const (
	fleetKind = "fleet"
	poolKind  = "pool"
	fleetName = "fleet"
)

func newOwnershipQuery(name claim.Name, grade int) ownershipQueryJSON {
	if pool, ok := name.Pool(); ok {
		return ownershipQueryJSON{Name: pool, Kind: poolKind, Grade: grade}
	}
	return ownershipQueryJSON{Name: fleetName, Kind: fleetKind, Grade: grade}
}

// shouldClaim reports whether this entry should claim the pool: no live owner of at
// least this entry's grade has it, and there is no live entry of a higher grade to
// claim it.
func (svc *Service) shouldClaim(ctx context.Context, name claim.Name) bool {
	sts := svc.queryOwnership(ctx, name)
	if sts == confirmedOwner {
		return false
	}
	isOutranked, err := group.IsOutranked(ctx, svc.cfg.StateLog, group.GradeOf(svc.cfg.MilliCores))
	if err != nil {
		svc.cfg.Journal.Warn(time.Now(), "gradesUnread", slog.String("name", name.String()), slog.String("error", err.Error()))
		isOutranked = false // a pool without an owner is worse than one with a weak owner
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	now := time.Now() // the calls above may have outlasted an outage of the log
	return !isOutranked && svc.isConfirmed(now) && (sts == notOwner || !svc.isRecovering(now))
}

// queryOwnership returns the ownership status of the entry with the newest claim. An
// entry that does not answer counts as not the owner. If it still is the owner, the
// next claim fences it, at the cost of a change of owner.
func (svc *Service) queryOwnership(ctx context.Context, name claim.Name) ownershipStatus {
	address, err := claim.FindOwner(ctx, svc.cfg.StateLog, name)
	if err != nil {
		svc.cfg.Journal.Warn(time.Now(), "claimUnread", slog.String("name", name.String()), slog.String("error", err.Error()))
		return confirmedOwner // without the log nothing can be claimed either
	}
	if address == "" || address == svc.cfg.PeerAddress {
		return notOwner
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer ownershipStatus
	err = svc.link.CallIdempotent(ctx, address, methodOwnership, newOwnershipQuery(name, group.GradeOf(svc.cfg.MilliCores)), &answer)
	if err != nil || answer != confirmedOwner {
		svc.cfg.Journal.Event(time.Now(), "ownerNotAlive", slog.String("name", name.String()), slog.String("address", address),
			slog.Bool("answered", err == nil), slog.Int("standing", int(answer)))
	}
	if err != nil {
		return notOwner
	}
	return answer
}

// deferClaim leaves a name unclaimed for a time.
func (svc *Service) deferClaim(name claim.Name, delay time.Duration) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, name)
	svc.retryAt[name] = time.Now().Add(delay)
}

func (svc *Service) serveOwnership(_ context.Context, params json.RawMessage) (any, error) {
	var in ownershipQueryJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "decoding an ownership query")
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	isOwner := in.Kind != fleetKind && svc.owners[in.Name] != nil || in.Kind != poolKind && in.Name == fleetName && svc.controller != nil
	isGradeSufficient := group.GradeOf(svc.cfg.MilliCores) >= in.Grade
	switch {
	case !isOwner || !isGradeSufficient || svc.stopping.Load():
		return notOwner, nil
	case !svc.isConfirmed(time.Now()):
		return unconfirmedOwner, nil
	}
	return confirmedOwner, nil
}
