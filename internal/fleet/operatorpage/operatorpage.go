// Package operatorpage encodes pages of operator records for entries that read them through another
// entry. API keys are passed on as digests.
package operatorpage

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
)

type pageJSON struct {
	Records    []recordJSON `json:"records,omitempty"`
	Next       int64        `json:"next"`
	IsSnapshot bool         `json:"isSnapshot,omitempty"`
	HasMore    bool         `json:"hasMore,omitempty"`
}

// recordJSON has one of its fields.
type recordJSON struct {
	Table *tableJSON `json:"table,omitempty"`
	Wave  *waveJSON  `json:"wave,omitempty"`
	Error string     `json:"error,omitempty"`
}

type tableJSON struct {
	Version          int64              `json:"version"`
	Queues           []queueJSON        `json:"queues"`
	Pools            []poolJSON         `json:"pools"`
	MaxBody          int64              `json:"maxBody,omitempty"`
	HasOrganisations bool               `json:"hasOrganisations,omitempty"`
	Organisations    []organisationJSON `json:"organisations,omitempty"`
}

type queueJSON struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	Prefix         string  `json:"prefix"`
	Pool           string  `json:"pool"`
	Priority       int     `json:"priority,omitempty"`
	MaxAttempts    int     `json:"maxAttempts"`
	DeadlineFactor float64 `json:"deadlineFactor"`
	LatencyGoal    int64   `json:"latencyGoalNs"`
	NeedsAdvice    bool    `json:"needsAdvice,omitempty"`
	NeedsKey       bool    `json:"needsKey,omitempty"`
}

type poolJSON struct {
	Name      string `json:"name"`
	IsStandby bool   `json:"isStandby,omitempty"`
}

type organisationJSON struct {
	Name       string   `json:"name"`
	Weight     float64  `json:"weight,omitempty"`
	MilliCores int64    `json:"milliCores,omitempty"`
	MemoryMB   int64    `json:"memoryMB,omitempty"`
	GPUs       int64    `json:"gpus,omitempty"`
	Digests    []string `json:"digests,omitempty"`
}

type waveJSON struct {
	Number   int64    `json:"number"`
	Machines []string `json:"machines"`
	Within   int64    `json:"withinNs"`
	Cap      int      `json:"cap"`
}

// Encode returns the JSON form of a page.
func Encode(page directory.OperatorPage) (json.RawMessage, error) {
	msg := pageJSON{Next: page.Next, IsSnapshot: page.IsSnapshot, HasMore: page.HasMore}
	for _, rec := range page.Records {
		msg.Records = append(msg.Records, encodeRecord(rec))
	}
	data, err := json.Marshal(msg)
	return data, errors.Wrap(err, "operator page")
}

func encodeRecord(rec directory.OperatorRecord) recordJSON {
	switch {
	case rec.Err != nil:
		return recordJSON{Error: rec.Err.Error()}
	case rec.Wave != nil:
		return recordJSON{Wave: &waveJSON{Number: rec.Wave.Number, Machines: rec.Wave.Machines, Within: int64(rec.Wave.Within), Cap: rec.Wave.Cap}}
	}
	tab := rec.Table
	msg := &tableJSON{Version: tab.Version(), MaxBody: tab.MaxBody(), HasOrganisations: tab.Organisations() != nil}
	for _, que := range tab.Queues() {
		msg.Queues = append(msg.Queues, queueJSON{
			Name: que.Name, Host: que.Host, Prefix: que.Prefix, Pool: que.Pool, Priority: que.Priority, MaxAttempts: que.MaxAttempts,
			DeadlineFactor: que.DeadlineFactor, LatencyGoal: int64(que.LatencyGoal), NeedsAdvice: que.NeedsAdvice, NeedsKey: que.NeedsKey,
		})
	}
	for _, pol := range tab.Pools() {
		msg.Pools = append(msg.Pools, poolJSON{Name: pol.Name, IsStandby: pol.IsStandby})
	}
	for _, org := range tab.Organisations().All() {
		msg.Organisations = append(msg.Organisations, organisationJSON{
			Name: org.Name, Weight: org.Weight, MilliCores: org.Cap.MilliCores, MemoryMB: org.Cap.MemoryMB, GPUs: org.Cap.GPUs,
			Digests: tab.Organisations().Digests(org.Name),
		})
	}
	return recordJSON{Table: msg}
}

// Decode parses a page of Encode.
func Decode(data json.RawMessage) (directory.OperatorPage, error) {
	var msg pageJSON
	if err := json.Unmarshal(data, &msg); err != nil {
		return directory.OperatorPage{}, errors.Wrap(err, "operator page")
	}
	page := directory.OperatorPage{Next: msg.Next, IsSnapshot: msg.IsSnapshot, HasMore: msg.HasMore}
	for i := range msg.Records {
		rec, err := decodeRecord(&msg.Records[i])
		if err != nil {
			return directory.OperatorPage{}, errors.Wrap(err, "operator page")
		}
		page.Records = append(page.Records, rec)
	}
	return page, nil
}

func decodeRecord(msg *recordJSON) (directory.OperatorRecord, error) {
	switch {
	case msg.Error != "":
		return directory.OperatorRecord{Err: errors.New(msg.Error)}, nil
	case msg.Wave != nil:
		wav := maintenance.Wave{Number: msg.Wave.Number, Machines: msg.Wave.Machines, Within: time.Duration(msg.Wave.Within), Cap: msg.Wave.Cap}
		return directory.OperatorRecord{Wave: &wav}, nil
	case msg.Table == nil:
		return directory.OperatorRecord{}, errors.New("record without content")
	}
	var queues []queue.Queue
	for _, que := range msg.Table.Queues {
		queues = append(queues, queue.Queue{
			Name: que.Name, Host: que.Host, Prefix: que.Prefix, Pool: que.Pool, Priority: que.Priority, MaxAttempts: que.MaxAttempts,
			DeadlineFactor: que.DeadlineFactor, LatencyGoal: time.Duration(que.LatencyGoal), NeedsAdvice: que.NeedsAdvice, NeedsKey: que.NeedsKey,
		})
	}
	var pools []queue.Pool
	for _, pol := range msg.Table.Pools {
		pools = append(pools, queue.Pool{Name: pol.Name, IsStandby: pol.IsStandby})
	}
	tab := queue.NewTable(msg.Table.Version, queues, pools).WithMaxBody(msg.Table.MaxBody)
	if !msg.Table.HasOrganisations {
		return directory.OperatorRecord{Table: tab}, nil
	}
	orgs := organisation.NewSet()
	for _, org := range msg.Table.Organisations {
		limit := plan.Demand{MilliCores: org.MilliCores, MemoryMB: org.MemoryMB, GPUs: org.GPUs}
		if err := orgs.AddDigests(organisation.Organisation{Name: org.Name, Weight: org.Weight, Cap: limit}, org.Digests); err != nil {
			return directory.OperatorRecord{}, err
		}
	}
	return directory.OperatorRecord{Table: tab.WithOrganisations(orgs)}, nil
}
