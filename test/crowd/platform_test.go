//go:build crowd

package crowd

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
	"daisywheel/platform/logclient"
)

// platform is a stand-in of the platform's log and list of machines, without VMs.
type platform struct {
	log    statelog.Client
	config []byte // the operator's configuration, at offset 0
}

func newPlatform(config string) *platform {
	return &platform{log: logstore.New(logstore.Config{}).Client(), config: []byte(config)}
}

func (plt *platform) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	topic, isKeyed := strings.CutPrefix(req.URL.Query().Get("topic"), "keyed.")
	switch path := req.URL.Path; {
	case path == "/api/machines":
		reply(wrt, map[string]any{"machines": []any{}, "next_token": nil})
	case path == "/api/log-read":
		plt.read(wrt, req, topic)
	case path == "/api/log-newest" && topic == "op":
		reply(wrt, map[string]any{"items": []any{map[string]any{"key": "config", "value": base64.StdEncoding.EncodeToString(plt.config), "offset": 0}}, "end_offset": 1})
	case path == "/api/log-newest" && topic == "servers":
		reply(wrt, map[string]any{"items": []any{}, "end_offset": 0})
	case path == "/api/log-newest" && isKeyed:
		plt.newest(wrt, req, topic)
	case path == "/api/log-append" && isKeyed:
		plt.append(wrt, req, topic)
	case path == "/api/log-join":
		var msg struct {
			Group, Member string
			Topics        []string
			TTL           int64 `json:"ttl_ms"`
			Generation    int64
		}
		_ = json.NewDecoder(req.Body).Decode(&msg)
		asg, err := plt.log.Join(req.Context(), statelog.Member{Group: msg.Group, Name: msg.Member, Topic: "jobs", TTL: time.Duration(msg.TTL) * time.Millisecond, Generation: msg.Generation})
		if err != nil {
			wrt.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		parts := [][]any{}
		for _, part := range asg.Partitions {
			parts = append(parts, []any{"keyed.jobs", part, 0})
		}
		reply(wrt, map[string]any{"generation": asg.Generation, "parts": parts})
	case path == "/api/log-owners":
		names, _ := plt.log.PartitionOwners(req.Context(), req.URL.Query().Get("group"))
		rows := [][]any{}
		for i, name := range names {
			rows = append(rows, []any{"keyed.jobs", i, name, 0})
		}
		reply(wrt, map[string]any{"owners": rows})
	default:
		reply(wrt, map[string]any{})
	}
}

func reply(wrt http.ResponseWriter, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wrt).Encode(body)
}

// read answers a read of the operator's records or of the announcements of VMs, of which none follow.
func (plt *platform) read(wrt http.ResponseWriter, req *http.Request, topic string) {
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-req.Context().Done():
	}
	var head [16]byte
	if topic == "op" {
		binary.BigEndian.PutUint64(head[:], 1)
	}
	_, _ = wrt.Write(head[:])
}

func (plt *platform) newest(wrt http.ResponseWriter, req *http.Request, topic string) {
	part, _ := strconv.Atoi(req.URL.Query().Get("part"))
	recs, end, _ := plt.log.Newest(req.Context(), topic, part)
	items := []any{}
	for _, rec := range recs {
		if rec.Key > req.URL.Query().Get("depends_on") {
			items = append(items, map[string]any{"key": rec.Key, "value": base64.StdEncoding.EncodeToString(rec.Value), "offset": rec.Offset})
		}
	}
	reply(wrt, map[string]any{"items": items, "end_offset": end})
}

func (plt *platform) append(wrt http.ResponseWriter, req *http.Request, topic string) {
	number := func(name string, otherwise int64) int64 {
		num, err := strconv.ParseInt(req.URL.Query().Get(name), 10, 64)
		if err != nil {
			return otherwise
		}
		return num
	}
	app := statelog.AppendRequest{
		Topic: topic, Partition: int(number("part", 0)), ExpectedEnd: number("at", statelog.AnyOffset),
		Producer: req.URL.Query().Get("producer"), Epoch: number("epoch", 0), Seq: number("seq", 0),
	}
	data, _ := io.ReadAll(req.Body)
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		key, value, _ := logclient.SplitKeyed(data[4 : 4+size])
		app.Records = append(app.Records, statelog.Record{Key: key, Value: value})
		data = data[4+size:]
	}
	offset, err := plt.log.Append(req.Context(), app)
	switch {
	case errors.Is(err, statelog.ErrOffsetConflict):
		wrt.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, statelog.ErrFenced):
		wrt.WriteHeader(http.StatusConflict)
		_, _ = wrt.Write([]byte(`{"reason":"fenced"}`))
	case err != nil:
		wrt.WriteHeader(http.StatusServiceUnavailable)
	default:
		reply(wrt, map[string]any{"offset": offset})
	}
}
