package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	appendTime   = 3 * time.Millisecond
	callTime     = 4 * time.Millisecond
	maxRecord    = 262144
	maxRequest   = 2097152
	newestPage   = 500
	answerMemory = 5
)

// logService is a stand-in for the platform's store.
type logService struct {
	mu      sync.Mutex
	parts   map[string]*partition // by topic and number
	groups  map[string]*group
	changed chan struct{} // closed at the next append
	count   int           // number of partitions of a topic
}

type logRecord struct {
	key string
	raw []byte
}

func (rec *logRecord) value() []byte { return rec.raw[1+len(rec.key):] }

type partition struct {
	isRead    bool // from an offset on, so that records that are not the newest are kept
	records   []logRecord
	newest    map[string]int64 // offset by key
	producers map[string]*producer
}

type producer struct {
	epoch, seq int64
	hasSeq     bool
	answers    map[int64]appendAnswer
}

type appendAnswer struct {
	Offset    int64 `json:"offset"`
	EndOffset int64 `json:"end_offset"`
}

type group struct {
	generation int64
	members    []*groupMember
	owner      []string
	target     []string
}

type groupMember struct {
	name    string
	ttl     time.Duration
	expires time.Time
}

func newLogService(parts int) *logService {
	return &logService{parts: map[string]*partition{}, groups: map[string]*group{}, changed: make(chan struct{}), count: parts}
}

func (svc *logService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", svc.append)
	mux.HandleFunc("GET /api/log-read", svc.read)
	mux.HandleFunc("GET /api/log-newest", svc.newest)
	mux.HandleFunc("POST /api/log-join", svc.join)
	mux.HandleFunc("POST /api/log-leave", svc.leave)
	mux.HandleFunc("GET /api/log-owners", svc.owners)
	return mux
}

// partition returns a partition, which is created on first use. The caller holds the lock.
func (svc *logService) partition(topic, part string) *partition {
	key := topic + "#" + part
	prt, ok := svc.parts[key]
	if !ok {
		prt = &partition{isRead: topic == "keyed.op" || topic == "keyed.servers", newest: map[string]int64{}, producers: map[string]*producer{}}
		svc.parts[key] = prt
	}
	return prt
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

func number(req *http.Request, name string, absent int64) int64 {
	num, err := strconv.ParseInt(req.URL.Query().Get(name), 10, 64)
	if err != nil {
		return absent
	}
	return num
}

// splitRecords splits the body of an append. It reports false for a body that the store
// rejects.
func splitRecords(data []byte) ([]logRecord, bool) {
	if len(data) > maxRequest {
		return nil, false
	}
	var recs []logRecord
	for len(data) > 0 {
		if len(data) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(data))
		if size < 1 || size > maxRecord || len(data) < 4+size {
			return nil, false
		}
		raw := data[4 : 4+size]
		keyEnd := 1 + int(raw[0])
		if keyEnd > size {
			return nil, false
		}
		recs = append(recs, logRecord{key: string(raw[1:keyEnd]), raw: raw})
		data = data[4+size:]
	}
	return recs, true
}

func (svc *logService) append(wrt http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	recs, ok := splitRecords(data)
	if !ok {
		answer(wrt, http.StatusBadRequest, struct{}{})
		return
	}
	time.Sleep(appendTime)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	prt := svc.partition(req.URL.Query().Get("topic"), req.URL.Query().Get("part"))
	end := int64(len(prt.records))
	if at := number(req, "at", -1); at >= 0 && at != end {
		answer(wrt, http.StatusPreconditionFailed, appendAnswer{EndOffset: end})
		return
	}
	name := req.URL.Query().Get("producer")
	var prd *producer
	epoch, seq := number(req, "epoch", 0), number(req, "seq", 0)
	if name != "" {
		prd = prt.producers[name]
		if prd == nil || epoch > prd.epoch {
			prd = &producer{epoch: epoch, answers: map[int64]appendAnswer{}}
			prt.producers[name] = prd
		}
		if epoch < prd.epoch {
			answer(wrt, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if old, isRepeat := prd.answers[seq]; isRepeat && len(recs) > 0 {
			answer(wrt, http.StatusOK, old)
			return
		}
		if prd.hasSeq && len(recs) > 0 && seq != prd.seq+1 {
			answer(wrt, http.StatusConflict, map[string]any{"reason": "seq", "seq": prd.seq + 1})
			return
		}
	}
	svc.add(prt, recs)
	ans := appendAnswer{Offset: end, EndOffset: int64(len(prt.records))}
	if prd != nil && len(recs) > 0 {
		prd.seq, prd.hasSeq, prd.answers[seq] = seq, true, ans
		delete(prd.answers, seq-answerMemory)
	}
	answer(wrt, http.StatusOK, ans)
}

// add appends records. The caller holds the lock.
func (svc *logService) add(prt *partition, recs []logRecord) {
	for _, rec := range recs {
		if old, ok := prt.newest[rec.key]; ok && !prt.isRead {
			prt.records[old].raw = nil
		}
		if len(rec.value()) == 0 {
			delete(prt.newest, rec.key)
		} else {
			prt.newest[rec.key] = int64(len(prt.records))
		}
		prt.records = append(prt.records, rec)
	}
	close(svc.changed)
	svc.changed = make(chan struct{})
}

// put writes a record as the operator and the runners do.
func (svc *logService) put(topic, key, value string) {
	raw := append([]byte{byte(len(key))}, key...)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.add(svc.partition(topic, "0"), []logRecord{{key: key, raw: append(raw, value...)}})
}

func (svc *logService) read(wrt http.ResponseWriter, req *http.Request) {
	from, wait := number(req, "from", 0), time.Duration(number(req, "wait_ms", 0))*time.Millisecond
	ctx, cancel := context.WithTimeout(req.Context(), wait)
	defer cancel()
	for {
		svc.mu.Lock()
		prt, changed := svc.partition(req.URL.Query().Get("topic"), req.URL.Query().Get("part")), svc.changed
		end := int64(len(prt.records))
		if from < end || ctx.Err() != nil || wait == 0 {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for off := from; off < end && len(data) < 1<<20; off++ {
				raw := prt.records[off].raw
				data = append(binary.BigEndian.AppendUint32(data, uint32(len(raw))), raw...)
			}
			svc.mu.Unlock()
			_, _ = wrt.Write(data)
			return
		}
		svc.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

type itemJSON struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (svc *logService) newest(wrt http.ResponseWriter, req *http.Request) {
	time.Sleep(callTime)
	after := req.URL.Query().Get("depends_on")
	svc.mu.Lock()
	defer svc.mu.Unlock()
	prt := svc.partition(req.URL.Query().Get("topic"), req.URL.Query().Get("part"))
	var keys []string
	for key := range prt.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, hasMore := []itemJSON{}, 0, false
	for _, key := range keys {
		if len(items) == newestPage || size > 1<<20 {
			hasMore = true
			break
		}
		off := prt.newest[key]
		value := prt.records[off].value()
		size += len(value)
		items = append(items, itemJSON{key, base64.StdEncoding.EncodeToString(value), off})
	}
	answer(wrt, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end_offset": len(prt.records)})
}

type joinJSON struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

// groupOf returns a group without its expired members. The caller holds the lock.
func (svc *logService) groupOf(name string) *group {
	grp, ok := svc.groups[name]
	if !ok {
		grp = &group{owner: make([]string, svc.count), target: make([]string, svc.count)}
		svc.groups[name] = grp
	}
	now := time.Now()
	kept := grp.members[:0:0]
	for _, mbr := range grp.members {
		if now.Before(mbr.expires) {
			kept = append(kept, mbr)
		}
	}
	if len(kept) != len(grp.members) {
		grp.members = kept
		grp.deal()
	}
	return grp
}

// deal distributes the partitions evenly after a change of the members.
func (grp *group) deal() {
	grp.generation++
	isMember := map[string]bool{}
	for _, mbr := range grp.members {
		isMember[mbr.name] = true
	}
	for num := range grp.target {
		grp.target[num] = ""
		if len(grp.members) > 0 {
			grp.target[num] = grp.members[num%len(grp.members)].name
		}
		if !isMember[grp.owner[num]] {
			grp.owner[num] = grp.target[num]
		}
	}
}

func (svc *logService) join(wrt http.ResponseWriter, req *http.Request) {
	var in joinJSON
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil || len(in.Topics) != 1 {
		answer(wrt, http.StatusBadRequest, struct{}{})
		return
	}
	time.Sleep(callTime)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	grp := svc.groupOf(in.Group)
	var mbr *groupMember
	for _, old := range grp.members {
		if old.name == in.Member {
			mbr = old
		}
	}
	if mbr == nil {
		mbr = &groupMember{name: in.Member}
		grp.members = append(grp.members, mbr)
		grp.deal()
	}
	mbr.ttl = time.Duration(in.TTL) * time.Millisecond
	mbr.expires = time.Now().Add(mbr.ttl)
	rows := [][]any{}
	for num := range grp.target {
		if grp.owner[num] == in.Member && grp.target[num] != in.Member && in.Generation >= grp.generation {
			grp.owner[num] = grp.target[num]
		}
		if grp.owner[num] == in.Member && grp.target[num] == in.Member {
			rows = append(rows, []any{in.Topics[0], num, 0})
		}
	}
	answer(wrt, http.StatusOK, map[string]any{"generation": grp.generation, "parts": rows})
}

func (svc *logService) leave(wrt http.ResponseWriter, req *http.Request) {
	var in joinJSON
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		answer(wrt, http.StatusBadRequest, struct{}{})
		return
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	for _, mbr := range svc.groupOf(in.Group).members {
		if mbr.name == in.Member {
			mbr.expires = time.Time{}
		}
	}
	svc.groupOf(in.Group)
	answer(wrt, http.StatusOK, struct{}{})
}

func (svc *logService) owners(wrt http.ResponseWriter, req *http.Request) {
	time.Sleep(callTime)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	grp := svc.groupOf(req.URL.Query().Get("group"))
	rows := [][]any{}
	for num, name := range grp.owner {
		if name != "" {
			rows = append(rows, []any{"keyed.jobs", num, name, 0})
		}
	}
	answer(wrt, http.StatusOK, map[string]any{"owners": rows})
}
