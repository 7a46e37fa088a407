package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it: topics of records, keyed topics
// and groups. It loses nothing and is never slow.
type store struct {
	mu      sync.Mutex
	parts   int
	logs    map[string]*partition
	groups  map[string]*group
	changed chan struct{} // closed and replaced with each append
}

type partition struct {
	records []storedRecord
	newest  map[string]int64 // offset of the newest record by key
	epochs  map[string]int64
	seqs    map[string]int64
	answers map[string][2]int64 // offsets of an append by producer, epoch and seq
}

type storedRecord struct {
	key string
	raw []byte
}

type group struct {
	generation int64
	members    map[string]time.Time // by name: until when they hold
}

// maxItems is the number of records in one answer of the newest ones.
const maxItems = 500

func newStore(parts int) *store {
	return &store{parts: parts, logs: map[string]*partition{}, groups: map[string]*group{}, changed: make(chan struct{})}
}

// partition returns a partition. The caller holds the lock.
func (sto *store) partition(topic string, num int) *partition {
	key := topic + "/" + strconv.Itoa(num)
	prt := sto.logs[key]
	if prt == nil {
		prt = &partition{newest: map[string]int64{}, epochs: map[string]int64{}, seqs: map[string]int64{}, answers: map[string][2]int64{}}
		sto.logs[key] = prt
	}
	return prt
}

// put writes a record as the operator, a server or another writer does. Without a value the key is dropped.
func (sto *store) put(topic, key string, value []byte) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	prt := sto.partition(topic, 0)
	prt.add(storedRecord{key: key, raw: append(append([]byte{byte(len(key))}, key...), value...)})
	sto.wake()
}

func (prt *partition) add(rec storedRecord) {
	if len(rec.raw) == 1+len(rec.key) {
		delete(prt.newest, rec.key)
	} else {
		prt.newest[rec.key] = int64(len(prt.records))
	}
	prt.records = append(prt.records, rec)
}

func (sto *store) wake() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// value returns the newest value of a key, nil without one.
func (sto *store) value(topic, key string) []byte {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	prt := sto.partition(topic, 0)
	offset, ok := prt.newest[key]
	if !ok {
		return nil
	}
	return prt.records[offset].raw[1+len(key):]
}

func (sto *store) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	time.Sleep(2 * time.Millisecond)
	switch req.URL.Path {
	case "/api/log-append":
		sto.append(wrt, req)
	case "/api/log-read":
		sto.read(wrt, req)
	case "/api/log-newest":
		sto.newest(wrt, req)
	case "/api/log-join":
		sto.join(wrt, req)
	case "/api/log-leave":
		sto.leave(wrt, req)
	case "/api/log-owners":
		sto.owners(wrt, req)
	default:
		wrt.WriteHeader(http.StatusNotFound)
	}
}

func answer(wrt http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_, _ = wrt.Write(data)
}

func number(req *http.Request, name string, otherwise int64) int64 {
	num, err := strconv.ParseInt(req.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return num
}

func (sto *store) append(wrt http.ResponseWriter, req *http.Request) {
	topic := req.URL.Query().Get("topic")
	isKeyed := strings.HasPrefix(topic, "keyed.")
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(wrt, http.StatusForbidden, map[string]any{})
		return
	}
	data, err := io.ReadAll(req.Body)
	var recs []storedRecord
	for len(data) > 0 && err == nil {
		size := 0
		if len(data) >= 4 {
			size = int(binary.BigEndian.Uint32(data))
		}
		if len(data) < 4+size || size == 0 || isKeyed && size < 1+int(data[4]) {
			answer(wrt, http.StatusBadRequest, map[string]any{})
			return
		}
		rec := storedRecord{raw: append([]byte(nil), data[4:4+size]...)}
		if isKeyed {
			rec.key = string(rec.raw[1 : 1+int(rec.raw[0])])
		}
		recs = append(recs, rec)
		data = data[4+size:]
	}
	if err != nil {
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	prt := sto.partition(topic, int(number(req, "part", 0)))
	end := int64(len(prt.records))
	if at := number(req, "at", -1); at >= 0 && at != end {
		answer(wrt, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	if producer := req.URL.Query().Get("producer"); producer != "" {
		epoch, seq := number(req, "epoch", 0), number(req, "seq", 0)
		last, isKnown := prt.epochs[producer]
		key := producer + "/" + strconv.FormatInt(epoch, 10) + "/" + strconv.FormatInt(seq, 10)
		switch offsets, isRepeat := prt.answers[key]; {
		case isKnown && epoch < last:
			answer(wrt, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case len(recs) == 0:
		case isRepeat:
			answer(wrt, http.StatusOK, map[string]any{"offset": offsets[0], "end_offset": offsets[1]})
			return
		case isKnown && epoch == last && prt.seqs[producer] != 0 && seq != prt.seqs[producer]+1:
			answer(wrt, http.StatusConflict, map[string]any{"reason": "seq", "seq": prt.seqs[producer] + 1})
			return
		}
		if epoch > last || !isKnown {
			prt.seqs[producer] = 0
		}
		prt.epochs[producer] = epoch
		if len(recs) > 0 {
			prt.seqs[producer] = seq
			prt.answers[key] = [2]int64{end, end + int64(len(recs))}
		}
	}
	for _, rec := range recs {
		prt.add(rec)
	}
	if len(recs) > 0 {
		sto.wake()
	}
	answer(wrt, http.StatusOK, map[string]any{"offset": end, "end_offset": end + int64(len(recs))})
}

func (sto *store) read(wrt http.ResponseWriter, req *http.Request) {
	deadline := time.After(time.Duration(number(req, "wait_ms", 0)) * time.Millisecond)
	from := number(req, "from", 0)
	for {
		sto.mu.Lock()
		prt := sto.partition(req.URL.Query().Get("topic"), int(number(req, "part", 0)))
		end, changed := int64(len(prt.records)), sto.changed
		var recs []storedRecord
		if from < end {
			recs = prt.records[from:end]
		}
		sto.mu.Unlock()
		if len(recs) == 0 {
			select {
			case <-changed:
				continue
			case <-req.Context().Done():
				return
			case <-deadline:
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range recs {
			out = binary.BigEndian.AppendUint32(out, uint32(len(rec.raw)))
			out = append(out, rec.raw...)
		}
		_, _ = wrt.Write(out)
		return
	}
}

func (sto *store) newest(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	prt := sto.partition(req.URL.Query().Get("topic"), int(number(req, "part", 0)))
	after := req.URL.Query().Get("depends_on")
	keys := make([]string, 0, len(prt.newest))
	for key := range prt.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	hasMore := len(keys) > maxItems
	items := []any{}
	for _, key := range keys[:min(len(keys), maxItems)] {
		offset := prt.newest[key]
		value := prt.records[offset].raw[1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	answer(wrt, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end_offset": len(prt.records)})
}

type membership struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    int64    `json:"ttl_ms"`
}

// present returns the names of the members that hold, sorted. The caller holds the lock.
func (grp *group) present(now time.Time) []string {
	var names []string
	for name, until := range grp.members {
		if now.After(until) {
			delete(grp.members, name)
			grp.generation++
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (sto *store) join(wrt http.ResponseWriter, req *http.Request) {
	var msg membership
	if json.NewDecoder(req.Body).Decode(&msg) != nil || len(msg.Topics) == 0 {
		answer(wrt, http.StatusBadRequest, map[string]any{})
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	grp := sto.groups[msg.Group]
	if grp == nil {
		grp = &group{members: map[string]time.Time{}}
		sto.groups[msg.Group] = grp
	}
	now := time.Now()
	if _, ok := grp.members[msg.Member]; !ok {
		grp.generation++
	}
	grp.members[msg.Member] = now.Add(time.Duration(msg.TTL) * time.Millisecond)
	rows := [][]any{}
	names := grp.present(now)
	for num := range sto.parts {
		if names[num%len(names)] == msg.Member {
			rows = append(rows, []any{msg.Topics[0], num, 0})
		}
	}
	answer(wrt, http.StatusOK, map[string]any{"generation": grp.generation, "ttl_ms": msg.TTL, "parts": rows})
}

func (sto *store) leave(wrt http.ResponseWriter, req *http.Request) {
	var msg membership
	if json.NewDecoder(req.Body).Decode(&msg) != nil {
		answer(wrt, http.StatusBadRequest, map[string]any{})
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if grp := sto.groups[msg.Group]; grp != nil {
		delete(grp.members, msg.Member)
		grp.generation++
	}
	answer(wrt, http.StatusOK, map[string]any{})
}

func (sto *store) owners(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	rows := [][]any{}
	if grp := sto.groups[req.URL.Query().Get("group")]; grp != nil {
		names := grp.present(time.Now())
		for num := range sto.parts {
			if len(names) > 0 {
				rows = append(rows, []any{"keyed.jobs", num, names[num%len(names)], 0})
			}
		}
	}
	answer(wrt, http.StatusOK, map[string]any{"owners": rows})
}
