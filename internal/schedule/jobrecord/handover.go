package jobrecord

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Handover is the record of an open job that its pool hands over to another one. While it is
// stored, the job belongs to neither for sure, and its former pool must not run it.
type Handover struct {
	To string // pool
	// Previous is the pool that handed the job to this one, empty for none. Its own record of that
	// must be gone before the job goes on, or it could repeat its handover afterwards.
	Previous string
	Job      Job
	Progress Progress
}

type handoverJSON struct {
	To       string          `json:"to"`
	Previous string          `json:"previous,omitempty"`
	Job      json.RawMessage `json:"job"`
	Progress json.RawMessage `json:"progress"`
}

// EncodeHandover returns the JSON record of a handover.
func EncodeHandover(hnd Handover) ([]byte, error) {
	job, err := EncodeJob(hnd.Job)
	if err != nil {
		return nil, err
	}
	progress, err := EncodeProgress(hnd.Progress)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(handoverJSON{To: hnd.To, Previous: hnd.Previous, Job: job, Progress: progress})
	return data, errors.Wrap(err, "handover record")
}

// DecodeHandover parses a record of EncodeHandover.
func DecodeHandover(data []byte) (Handover, error) {
	var jsn handoverJSON
	if err := json.Unmarshal(data, &jsn); err != nil {
		return Handover{}, errors.Wrap(err, "handover record")
	}
	job, err := DecodeJob(jsn.Job)
	if err != nil {
		return Handover{}, err
	}
	progress, err := DecodeProgress(jsn.Progress)
	if err != nil {
		return Handover{}, err
	}
	if jsn.To == "" || progress.State.IsEnded() {
		return Handover{}, errors.Newf("handover record of a job that is %s to the pool %q", progress.State, jsn.To)
	}
	// Progress names the steps by row unless it is long, so it lacks their number.
	progress.Steps = len(job.Plan.Steps)
	return Handover{To: jsn.To, Previous: jsn.Previous, Job: job, Progress: progress}, nil
}
