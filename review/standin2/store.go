package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	appendTime  = 3 * time.Millisecond
	readTime    = 2 * time.Millisecond
	pageItems   = 500
	minTTL      = time.Second
	partitions  = 16
	keptRepeats = 5
)

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition // by topic and number
	groups  map[string]*group
	changed chan struct{} // closed at the next append
	isDown  bool          // every call gets 503
}

type partition struct {
	records   [][]byte
	newest    map[string]keyedValue
	producers map[string]*producer
}

type keyedValue struct {
	value  []byte
	offset int64
}

// producer is the state of one producer in one partition.
type producer struct {
	epoch int64
	seq   int64 // of the last append; -1 after a new epoch
	past  map[int64][2]int64
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, groups: map[string]*group{}, changed: make(chan struct{})}
}

// partition returns a partition. The caller holds the lock.
func (sto *store) partition(topic string, number int) *partition {
	key := topic + "/" + strconv.Itoa(number)
	prt, ok := sto.parts[key]
	if !ok {
		prt = &partition{newest: map[string]keyedValue{}, producers: map[string]*producer{}}
		sto.parts[key] = prt
	}
	return prt
}

// put writes a record of the operator or of a runner.
func (sto *store) put(topic, key string, value any) {
	data := []byte(nil)
	if value != nil {
		data = mustJSON(value)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.add(sto.partition(topic, 0), append(append([]byte{byte(len(key))}, key...), data...))
}

// get returns the newest value of a key.
func (sto *store) get(topic string, number int, key string) []byte {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.partition(topic, number).newest[key].value
}

func (sto *store) setDown(isDown bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.isDown = isDown
	if !isDown { // times pause while the store is down
		for _, grp := range sto.groups {
			grp.renew(time.Now())
		}
	}
}

// add appends one record of a keyed topic. The caller holds the lock.
func (sto *store) add(prt *partition, rec []byte) {
	size := 1 + int(rec[0])
	key, value := string(rec[1:size]), rec[size:]
	if len(value) == 0 {
		delete(prt.newest, key)
	} else {
		prt.newest[key] = keyedValue{value, int64(len(prt.records))}
	}
	prt.records = append(prt.records, rec)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", sto.appendRecords)
	mux.HandleFunc("GET /api/log-read", sto.read)
	mux.HandleFunc("GET /api/log-newest", sto.readNewest)
	mux.HandleFunc("POST /api/log-join", sto.join)
	mux.HandleFunc("POST /api/log-leave", sto.leave)
	mux.HandleFunc("GET /api/log-owners", sto.owners)
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		sto.mu.Lock()
		isDown := sto.isDown
		sto.mu.Unlock()
		if isDown {
			wrt.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(wrt, req)
	})
}

func intOf(req *http.Request, name string) int64 {
	num, err := strconv.ParseInt(req.URL.Query().Get(name), 10, 64)
	if err != nil {
		return -1
	}
	return num
}

func (sto *store) appendRecords(wrt http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	var recs [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		recs = append(recs, body[4:4+size])
		body = body[4+size:]
	}
	time.Sleep(appendTime)
	qry := req.URL.Query()
	sto.mu.Lock()
	defer sto.mu.Unlock()
	prt := sto.partition(qry.Get("topic"), int(intOf(req, "part")))
	end := int64(len(prt.records))
	if at := intOf(req, "at"); at >= 0 && at != end {
		reply(wrt, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	if name := qry.Get("producer"); name != "" {
		prd, ok := prt.producers[name]
		if !ok {
			prd = &producer{epoch: -1}
			prt.producers[name] = prd
		}
		epoch, seq := intOf(req, "epoch"), intOf(req, "seq")
		if epoch < prd.epoch {
			reply(wrt, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > prd.epoch {
			prd.epoch, prd.seq, prd.past = epoch, -1, map[int64][2]int64{}
		}
		if len(recs) > 0 {
			if first, isRepeat := prd.past[seq]; isRepeat {
				reply(wrt, http.StatusOK, map[string]any{"offset": first[0], "end_offset": first[1]})
				return
			}
			if prd.seq >= 0 && seq != prd.seq+1 {
				reply(wrt, http.StatusConflict, map[string]any{"reason": "seq", "seq": prd.seq + 1})
				return
			}
			prd.seq = seq
			prd.past[seq] = [2]int64{end, end + int64(len(recs))}
			delete(prd.past, seq-keptRepeats)
		}
	}
	for _, rec := range recs {
		sto.add(prt, rec)
	}
	reply(wrt, http.StatusOK, map[string]any{"offset": end, "end_offset": int64(len(prt.records))})
}

func (sto *store) read(wrt http.ResponseWriter, req *http.Request) {
	time.Sleep(readTime)
	from, wait := int(intOf(req, "from")), time.Duration(max(0, intOf(req, "wait_ms")))*time.Millisecond
	expired := time.After(wait)
	for {
		sto.mu.Lock()
		prt := sto.partition(req.URL.Query().Get("topic"), int(intOf(req, "part")))
		recs, changed := prt.records, sto.changed
		sto.mu.Unlock()
		if len(recs) <= from && wait > 0 {
			select {
			case <-changed:
				continue
			case <-req.Context().Done():
				return
			case <-expired:
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(recs)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range recs[min(len(recs), max(0, from)):] {
			out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
			out = append(out, rec...)
		}
		_, _ = wrt.Write(out) // the caller may have left
		return
	}
}

func (sto *store) readNewest(wrt http.ResponseWriter, req *http.Request) {
	time.Sleep(readTime)
	sto.mu.Lock()
	defer sto.mu.Unlock()
	qry := req.URL.Query()
	prt := sto.partition(qry.Get("topic"), int(intOf(req, "part")))
	var keys []string
	for key := range prt.newest {
		if key > qry.Get("depends_on") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		val := prt.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(val.value), "offset": val.offset})
	}
	reply(wrt, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > pageItems, "end_offset": len(prt.records)})
}

// group assigns the partitions of its topic to its members.
type group struct {
	topic      string
	generation int64
	members    map[string]*member
	wanted     [partitions]string // member that each partition is for
	holders    [partitions]string // member that has it
}

type member struct {
	ttl      time.Duration
	joinedAt time.Time
}

func (grp *group) renew(now time.Time) {
	for _, mbr := range grp.members {
		mbr.joinedAt = now
	}
}

// expire removes the members that have sent nothing for their TTL.
func (grp *group) expire(now time.Time) {
	for name, mbr := range grp.members {
		if now.Sub(mbr.joinedAt) > mbr.ttl {
			grp.remove(name)
		}
	}
}

func (grp *group) remove(name string) {
	if grp.members[name] == nil {
		return
	}
	delete(grp.members, name)
	for num := range grp.holders {
		if grp.holders[num] == name {
			grp.holders[num] = ""
		}
	}
	grp.deal()
}

// deal distributes the partitions evenly.
func (grp *group) deal() {
	grp.generation++
	var names []string
	for name := range grp.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for num := range grp.wanted {
		grp.wanted[num] = ""
		if len(names) > 0 {
			grp.wanted[num] = names[num%len(names)]
		}
	}
}

type memberJSON struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttl_ms"`
}

func (sto *store) join(wrt http.ResponseWriter, req *http.Request) {
	var msg memberJSON
	if json.NewDecoder(req.Body).Decode(&msg) != nil || len(msg.Topics) != 1 || msg.TTLMs < minTTL.Milliseconds() {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(readTime)
	sto.mu.Lock()
	defer sto.mu.Unlock()
	grp, ok := sto.groups[msg.Group]
	if !ok {
		grp = &group{topic: msg.Topics[0], members: map[string]*member{}}
		sto.groups[msg.Group] = grp
	}
	now := time.Now()
	grp.expire(now)
	isNew := grp.members[msg.Member] == nil
	grp.members[msg.Member] = &member{ttl: time.Duration(msg.TTLMs) * time.Millisecond, joinedAt: now}
	if isNew {
		grp.deal()
	}
	parts := [][]any{}
	for num := range grp.wanted {
		if grp.wanted[num] != msg.Member {
			if grp.holders[num] == msg.Member { // it learns with this answer that it is to be moved
				grp.holders[num] = ""
			}
			continue
		}
		if grp.holders[num] == "" || grp.members[grp.holders[num]] == nil {
			grp.holders[num] = msg.Member
		}
		if grp.holders[num] == msg.Member {
			parts = append(parts, []any{grp.topic, num, 0})
		}
	}
	reply(wrt, http.StatusOK, map[string]any{"generation": grp.generation, "ttl_ms": msg.TTLMs, "parts": parts})
}

func (sto *store) leave(wrt http.ResponseWriter, req *http.Request) {
	var msg memberJSON
	if json.NewDecoder(req.Body).Decode(&msg) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if grp, ok := sto.groups[msg.Group]; ok {
		grp.remove(msg.Member)
	}
	reply(wrt, http.StatusOK, map[string]any{})
}

func (sto *store) owners(wrt http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	rows := [][]any{}
	if grp, ok := sto.groups[req.URL.Query().Get("group")]; ok {
		grp.expire(time.Now())
		for num, name := range grp.holders {
			if name != "" {
				rows = append(rows, []any{grp.topic, num, name, 0})
			}
		}
	}
	reply(wrt, http.StatusOK, map[string]any{"parts": rows})
}

// ownerOf returns the peer address in the newest claim of a pool or of the fleet.
func (sto *store) ownerOf(name string) string {
	var clm struct {
		Address string `json:"address"`
	}
	if json.Unmarshal(sto.get("keyed.cells", 0, name), &clm) != nil {
		return ""
	}
	return clm.Address
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func reply(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_, _ = wrt.Write(mustJSON(body)) // the caller may have left
}

// trimmed returns the text on one line.
func trimmed(data []byte) string { return strings.Join(strings.Fields(string(data)), " ") }
