// Package statelog defines the client interface of the state log, which holds the
// durable state. The log has topics with partitions, some of them compacted to the
// newest record of each key, and groups whose members share the partitions.
package statelog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that callers distinguish. After any other error, the append may have
// been carried out.
var (
	ErrNotAppended    = errors.New("append not carried out")
	ErrFenced         = errors.New("producer fenced by a higher epoch")
	ErrOffsetConflict = errors.New("partition does not end at the expected offset")
	ErrTruncated      = errors.New("records are no longer retained")
)

// AnyOffset makes an append unconditional: it goes to the end of the partition.
const AnyOffset = -1

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 255

// Record is a keyed record. An empty value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // set when the record is read
}

// AppendRequest is an atomic append of records to one partition.
type AppendRequest struct {
	Topic       string
	Partition   int
	Records     []Record
	ExpectedEnd int64 // offset at which the partition must end, or AnyOffset
	// An append with a Producer fences the producer's lower epochs. Seq numbers its
	// appends from 1; a repeat with the same number is deduplicated.
	Producer string
	Epoch    int64
	Seq      int64
}

// Member identifies a group member, with the last generation that it knows.
type Member struct {
	Group, Name, Topic string
	TTL                time.Duration
	Generation         int64
}

// Assignment is the set of partitions assigned to a group member.
type Assignment struct {
	Generation int64
	Partitions []int
}

// Client accesses the state log. Its function fields can be replaced by tests.
type Client struct {
	// Append returns the offset of the first record.
	Append func(ctx context.Context, app AppendRequest) (int64, error)
	// Newest returns the newest record of each key, and the offset up to which the
	// result is complete.
	Newest func(ctx context.Context, topic string, part int) ([]Record, int64, error)
	// Lookup returns the newest record of one key.
	Lookup func(ctx context.Context, topic string, part int, key string) (Record, bool, error)
	// Join joins a group or renews the membership.
	Join func(ctx context.Context, mbr Member) (Assignment, error)
	// PartitionOwners returns the names of the group members that hold partitions, in any
	// order; none if the group has no live member.
	PartitionOwners func(ctx context.Context, group string) ([]string, error)
	Leave           func(ctx context.Context, mbr Member) error
}
