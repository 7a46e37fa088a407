// Package recordkey has the keys of a pool's records in the state log. Pools share partitions, and pools and VMs have any
// names.
package recordkey

import (
	"net/url"
	"strings"
)

// Kind is the kind of a record.
type Kind string

// The kinds of records. Each is one letter, which stands between slashes in a key.
const (
	Job      Kind = "j"
	Apart    Kind = "n" // a submission that is set apart, see poolscheduler.JobUpdate
	Handover Kind = "m"
	Progress Kind = "p"
	VM       Kind = "v"
)

// Key is the key of a record. ID is a job's id, or any text if Kind is VM.
type Key struct {
	Pool string
	Kind Kind
	ID   string
}

// String returns the key in the log: the pool, the kind and the ID, which Parse tells apart. No two keys have the same.
func (key Key) String() string {
	return key.Pool + "/" + string(key.Kind) + "/" + escape(key.ID)
}

// Parse returns the key with the text, false if it is of no known kind.
func Parse(text string) (Key, bool) {
	start, end, ok := lastKind(text)
	if !ok {
		return Key{}, false
	}
	key := Key{Pool: text[:start], Kind: Kind(text[start+1 : end-1]), ID: unescape(text[end:])}
	if key.Kind != VM && strings.Contains(key.ID, "/") {
		return Key{}, false
	}
	return key, true
}

// lastKind returns where the last kind of the text starts and ends, with its slashes.
func lastKind(text string) (start, end int, ok bool) {
	for start = len(text) - len("/k/"); start >= 0; start-- {
		end = start + len("/k/")
		if text[start] == '/' && text[end-1] == '/' && isKind(text[start+1:end-1]) {
			return start, end, true
		}
	}
	return 0, 0, false
}

func isKind(text string) bool {
	switch Kind(text) {
	case Job, Apart, Handover, Progress, VM:
		return true
	}
	return false
}

// escapeMark begins an ID that is escaped.
const escapeMark = "%"

// escape returns an ID in which no kind is found. Others stay as they are, as earlier versions of the program have stored them.
func escape(id string) string {
	if _, _, hasKind := lastKind("/" + id); hasKind || unescape(id) != id {
		return escapeMark + url.PathEscape(id)
	}
	return id
}

// unescape returns the ID of an escaped one, and any other text as it is.
func unescape(text string) string {
	rest, ok := strings.CutPrefix(text, escapeMark)
	if !ok {
		return text
	}
	if id, err := url.PathUnescape(rest); err == nil && escape(id) == text {
		return id
	}
	return text
}
