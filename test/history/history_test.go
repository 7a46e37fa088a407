// Package history checks recorded histories of concurrent operators and callers: table
// rows are linearizable compare-and-set registers, and requests with an idempotency key
// run at most once and have one answer.
package history

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/operator/client"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
	"daisywheel/internal/standin/logservice"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/site"
)

const (
	seed           = 20261204
	editors        = 4
	editsPerEditor = 12
	keyCount       = 12
	sendsPerKey    = 4
)

func startSite(t *testing.T) *site.Site {
	t.Helper()
	ste, err := site.Start(site.Config{Seed: seed, Plan: site.Plan{
		Name: "history", Zones: []string{"z1", "z2"}, EntriesPerZone: 2, VMsPerPool: 4,
		VMShape: shape.New(shape.Config{Cores: 4, MemoryMB: 4096}), ServiceTime: 10 * time.Millisecond,
		Pools: []site.PoolPlan{{Row: row.Config{
			Pool: "gate", Service: "gate", Weight: 1, DownVMs: 1, Queue: 100, DeadlineMs: 5000,
		}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ste.Stop)
	return ste
}

// history records the calls and returns of concurrent operations.
type history struct {
	mu      sync.Mutex
	begin   time.Time
	ops     []porcupine.Operation
	pending []pendingEdit
}

// pendingEdit is an edit whose outcome was unknown when the call returned.
type pendingEdit struct {
	editor int
	in     edit
	call   time.Time
	id     string
}

func (hst *history) add(client int, in any, call time.Time, out any, isUnknown bool) {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	end := time.Since(hst.begin).Nanoseconds()
	if isUnknown {
		end = time.Hour.Nanoseconds() // an operation whose outcome is unknown may take effect at any later time
	}
	hst.ops = append(hst.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: call.Sub(hst.begin).Nanoseconds(), Output: out, Return: end,
	})
}

// edit is a compare-and-set of a row, with the revision that it expects.
type edit struct {
	base  int64
	queue int
}

// result is the answer to an edit; rev is the revision of the accepted row.
type result struct {
	code code.Code
	rev  int64
}

// rowModel is a compare-and-set register that holds the row's revision.
var rowModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, in, out any) []any {
		rev, edt, res := state.(int64), in.(edit), out.(result)
		switch res.code {
		case code.OK:
			if rev != edt.base || res.rev <= rev {
				return nil
			}
			return []any{res.rev}
		case code.StaleRevision:
			if rev == edt.base {
				return nil
			}
			return []any{rev}
		}
		return nil
	},
	Equal: func(one, two any) bool { return one == two },
}

// editParams are the drawn parameters of one edit: the wait before it, the entry that
// it goes to, and whether it uses a stale revision.
type editParams struct {
	wait    time.Duration
	entry   int
	isStale bool
}

func drawEditParams() *rapid.Generator[[]editParams] {
	one := rapid.Custom(func(t *rapid.T) editParams {
		return editParams{
			wait:    time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond,
			entry:   rapid.IntRange(0, 3).Draw(t, "entry"),
			isStale: rapid.IntRange(0, 4).Draw(t, "stale") == 0,
		}
	})
	return rapid.SliceOfN(one, editsPerEditor, editsPerEditor)
}

func clientOf(ste *site.Site, entry int) *client.Client {
	set := ste.Entries()[entry].Node().Settings()
	return client.New(client.Config{Addresses: []string{set.OperatorAddress}, Token: ste.Token()})
}

func readRow(t *testing.T, cln *client.Client) wire.Row {
	t.Helper()
	var tbl wire.Table
	if err := cln.Get(context.Background(), "/v1/table", &tbl); err != nil {
		t.Error(err)
		return wire.Row{}
	}
	return tbl.Rows[0]
}

// runEdits has concurrent editors change one row while the log loses replies and is
// unavailable at times, and returns the history.
func runEdits(t *testing.T, ste *site.Site) []porcupine.Operation {
	t.Helper()
	hst := &history{begin: time.Now()}
	first := readRow(t, clientOf(ste, 0))
	hst.add(99, edit{base: 0}, hst.begin, result{code: code.OK, rev: first.Rev}, false)
	stop := injectLogFaults(ste)
	var wtg sync.WaitGroup
	for editor := range editors {
		params := drawEditParams().Example(seed + editor)
		wtg.Go(func() {
			for count, prm := range params {
				time.Sleep(prm.wait)
				cln := clientOf(ste, prm.entry)
				rw := readRow(t, cln)
				if prm.isStale {
					rw.Rev--
				}
				rw.Queue = 100 + editor*editsPerEditor + count
				hst.sendEdit(cln, editor, rw)
			}
		})
	}
	wtg.Wait()
	stop()
	time.Sleep(time.Second) // until every entry has applied every append that was sent
	hst.resolvePending(clientOf(ste, 0))
	return hst.ops
}

func (hst *history) sendEdit(cln *client.Client, editor int, rw wire.Row) {
	edt := wire.Edit{Row: rw, BaseRev: rw.Rev, ChangeID: uuid.NewString(), Author: fmt.Sprint(editor)}
	call := time.Now()
	ans, err := cln.Change(context.Background(), http.MethodPut, "/v1/table/rows/gate", edt)
	cd := code.Code(ans.Code)
	if ans.Name == "" && err != nil {
		cd = code.NotYetKnown
	}
	in := edit{base: rw.Rev, queue: rw.Queue}
	if cd == code.NotYetKnown {
		hst.mu.Lock()
		defer hst.mu.Unlock()
		hst.pending = append(hst.pending, pendingEdit{editor: editor, in: in, call: call, id: edt.ChangeID})
		return
	}
	if cd != code.NotReady { // an entry that is not ready never appends the edit
		hst.add(editor, in, call, result{code: cd, rev: ans.Offset + 1}, false)
	}
}

// resolvePending looks up the verdict of each pending edit. An edit that is not in the
// log had no effect and is left out of the history.
func (hst *history) resolvePending(cln *client.Client) {
	for _, pnd := range hst.pending {
		var ans wire.Answer
		err := cln.Get(context.Background(), "/v1/changes/"+pnd.id, &ans)
		if err == nil && code.Code(ans.Code) != code.NotYetKnown {
			hst.add(pnd.editor, pnd.in, pnd.call, result{code: code.Code(ans.Code), rev: ans.Offset + 1}, false)
		}
	}
}

// injectLogFaults repeats three log faults in turn until stop is called: every third
// reply lost, unavailable, and slow.
func injectLogFaults(ste *site.Site) (stop func()) {
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		count := 0
		lossy := logservice.Fault{LoseReply: func() bool {
			count++
			return count%3 == 0
		}}
		for {
			for _, flt := range []logservice.Fault{lossy, {IsDown: true}, {Delay: 20 * time.Millisecond}} {
				ste.LogService().SetFault(flt)
				select {
				case <-quit:
					ste.LogService().SetFault(logservice.Fault{})
					return
				case <-time.After(150 * time.Millisecond):
				}
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

func TestRowsAreLinearizable(t *testing.T) {
	ops := runEdits(t, startSite(t))
	accepted := 0
	for _, op := range ops {
		if op.Output.(result).code == code.OK {
			accepted++
		}
	}
	t.Logf("%d edits answered, %d accepted", len(ops), accepted)
	if accepted < 5 {
		t.Fatalf("only %d edits were accepted", accepted)
	}
	model := rowModel.ToModel()
	if !porcupine.CheckOperations(model, ops) {
		t.Fatal("the history of the row is not linearizable")
	}
	// Check the checker: it must reject a history in which a stale edit was accepted.
	for idx, op := range ops {
		if res := op.Output.(result); res.code == code.StaleRevision {
			ops[idx].Output = result{code: code.OK, rev: 1 << 40}
			if porcupine.CheckOperations(model, ops) {
				t.Fatal("the checker accepted a history with an accepted stale edit")
			}
			return
		}
	}
	t.Fatal("no edit was stale")
}

// answer is the reply to a keyed request; an empty body stands for no answer.
type answer struct {
	body     string
	isNotRun bool
}

// keyModel is a request that runs at most once: all answers are the same.
var keyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, out any) (bool, any) {
		ran, ans := state.(string), out.(answer)
		if ans.body == "" {
			return true, ran
		}
		return ran == "" || ran == ans.body, ans.body
	},
	Equal: func(one, two any) bool { return one == two },
}

func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	ste := startSite(t)
	stop := injectLogFaults(ste)
	ste.VM("gate-01").SetFault(simvm.Fault{Drops: true})
	var wtg sync.WaitGroup
	hst := make([]*history, keyCount)
	for key := range keyCount {
		hst[key] = &history{begin: time.Now()}
		for repeat := range sendsPerKey {
			wtg.Go(func() {
				time.Sleep(time.Duration(repeat*key) * 7 * time.Millisecond)
				hst[key].sendKeyed(ste, key, repeat)
			})
		}
	}
	wtg.Wait()
	stop()
	for key := range keyCount {
		id := keyName(key)
		if runs := ste.Runs(id); runs > 1 {
			t.Errorf("key %s ran %d times", id, runs)
		}
		if !porcupine.CheckOperations(keyModel, hst[key].ops) {
			t.Errorf("key %s had different answers: %v", id, hst[key].ops)
		}
		for _, op := range hst[key].ops {
			if ans := op.Output.(answer); ans.body != "" && ste.Runs(id) != 1 {
				t.Errorf("key %s was answered but ran %d times", id, ste.Runs(id))
			}
		}
	}
}

func keyName(key int) string { return fmt.Sprintf("key-%d", key) }

func (hst *history) sendKeyed(ste *site.Site, key, repeat int) {
	entries := ste.Entries()
	address := entries[(key+repeat)%len(entries)].Node().Settings().CallerAddress
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/s/gate/charge", strings.NewReader(keyName(key)))
	if err != nil {
		return
	}
	req.Header.Set("X-Request-Id", keyName(key))
	req.Header.Set("Idempotency-Key", keyName(key))
	call := time.Now()
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		hst.add(repeat, nil, call, answer{}, true)
		return
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	ans := answer{isNotRun: rsp.Header.Get("Daisywheel-Outcome") == "notRun"}
	if err == nil && rsp.StatusCode == http.StatusOK {
		ans.body = string(body)
	}
	hst.add(repeat, nil, call, ans, ans.body == "")
}
