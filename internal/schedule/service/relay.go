package service

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/operatorpage"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

const (
	methodReadOperator = "operator.read"
	// relayTimeout bounds a read through one other entry: 20 times the usual round trip and read.
	relayTimeout = 100 * time.Millisecond
	// maxRelays is the number of entries that are asked in turn. One that the log turns away too says so at once.
	maxRelays = 5
)

// operatorRequestJSON asks an entry to read operator records on behalf of another.
type operatorRequestJSON struct {
	Cursor int64 `json:"cursor"`
}

// readOperatorRecords reads operator records from the log. A read that does not wait for records goes through
// another entry if the log does not answer this one; if this entry may be cut off from the log, it asks
// others first. What it reads there is as the log has it when the other entry asks.
func (svc *Service) readOperatorRecords(ctx context.Context, cursor int64, wait time.Duration) (directory.OperatorPage, error) {
	if wait > 0 {
		return svc.cfg.Directory.OperatorRecords(ctx, cursor, wait)
	}
	isCutOff := !svc.isMembershipConfirmed()
	if isCutOff {
		if page, err := svc.relayRead(ctx, cursor); err == nil {
			return page, nil
		}
	}
	page, err := svc.cfg.Directory.OperatorRecords(ctx, cursor, 0)
	if err == nil || isCutOff {
		return page, err
	}
	if relayed, relayErr := svc.relayRead(ctx, cursor); relayErr == nil {
		return relayed, nil
	}
	return page, err
}

// relayRead reads operator records through another entry.
func (svc *Service) relayRead(ctx context.Context, cursor int64) (directory.OperatorPage, error) {
	var err error = fault.New(code.NotReady, "this entry knows no other one")
	for _, address := range svc.relayAddresses() {
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		var msg json.RawMessage
		err = svc.link.Call(callCtx, address, methodReadOperator, operatorRequestJSON{Cursor: cursor}, &msg)
		cancel()
		if err != nil {
			continue
		}
		page, err := operatorpage.Decode(msg)
		if err == nil {
			svc.relayedReads.Inc()
		}
		return page, err
	}
	return directory.OperatorPage{}, err
}

// relayAddresses returns the addresses of entries that are likely to reach the log: those that own pools or run the
// fleet controller.
func (svc *Service) relayAddresses() []string {
	svc.mu.Lock()
	addresses := []string{svc.controllerAddress}
	svc.mu.Unlock()
	addresses = append(addresses, svc.gateway.OwnerAddresses()...)
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == "" || address == svc.cfg.PeerAddress })
	if len(addresses) == 0 {
		return nil
	}
	// Entries begin with different ones.
	from := int(svc.relayRound.Add(1)) % len(addresses)
	addresses = append(addresses[from:], addresses[:from]...)
	return addresses[:min(len(addresses), maxRelays)]
}

func (svc *Service) serveReadOperator(ctx context.Context, params json.RawMessage) (any, error) {
	var req operatorRequestJSON
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "decoding a request for operator records")
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	page, err := svc.cfg.Directory.OperatorRecords(ctx, req.Cursor, 0)
	if err != nil {
		return nil, fault.Wrap(err, code.LogUnavailable, "operator records for another entry")
	}
	return operatorpage.Encode(page)
}
