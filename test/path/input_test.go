package path

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"daisywheel/internal/operator/wire"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// rawReply sends text over a new connection and returns the status, the outcome header
// and the body of the reply. An empty status means that the connection was closed without
// a reply.
func rawReply(t *testing.T, address, text string) (status, outcome, body string) {
	t.Helper()
	cnn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cnn.Close() }()
	if err := cnn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(cnn, text); err != nil {
		return "", "", ""
	}
	if tcp, ok := cnn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	rsp, err := http.ReadResponse(bufio.NewReader(cnn), nil)
	if err != nil {
		return "", "", ""
	}
	defer func() { _ = rsp.Body.Close() }()
	data, _ := io.ReadAll(rsp.Body)
	return rsp.Status, rsp.Header.Get("Daisywheel-Outcome"), string(data)
}

func TestBadRequestsNeverRun(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	address := ste.Entries()[0].Node().Settings().CallerAddress
	head := func(id, rest string) string {
		return "POST /s/gate/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n" + rest
	}
	for _, tst := range []struct {
		name, id, text, status string
	}{
		{"body cut short", "cut", head("cut", "Content-Length: 100\r\n\r\nshort"), "400"},
		{"chunked garbage", "garbage", head("garbage", "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n"), "400"},
		{"chunked cut short", "chunk", head("chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\nhel"), "400"},
		{"headers too large", "bomb", head("bomb", strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 100)+"\r\n"), "431"},
		{"body too large", "large", head("large", "Content-Length: 99999999\r\n\r\n"), "413"},
		{"negative length", "negative", head("negative", "Content-Length: -1\r\n\r\n"), "400"},
		{"two lengths that differ", "two", head("two", "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"), "400"},
		{"invalid timeout", "limit", head("limit", "Daisywheel-Timeout: soon\r\nContent-Length: 0\r\n\r\n"), "400"},
		{"unknown service", "service", strings.Replace(head("service", "Content-Length: 0\r\n\r\n"), "/s/gate", "/s/none", 1), "404"},
		{"operators' route", "admin", "GET /v1/table HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
	} {
		status, outcome, _ := rawReply(t, address, tst.text)
		if !strings.HasPrefix(status, tst.status) {
			t.Errorf("%s: status %q, want %s", tst.name, status, tst.status)
		}
		if outcome != "" && outcome != "notRun" {
			t.Errorf("%s: outcome %q", tst.name, outcome)
		}
		if runs := ste.Runs(tst.id); runs != 0 {
			t.Errorf("%s: ran %d times", tst.name, runs)
		}
	}
}

// A request with Content-Length and Transfer-Encoding must be read by its chunks. What
// follows them must not run as a second request (request smuggling).
func TestAmbiguousLengthSmugglesNoRequest(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	address := ste.Entries()[0].Node().Settings().CallerAddress
	hidden := "POST /s/gate/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	text := fmt.Sprintf("POST /s/gate/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: outer\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(hidden), hidden)
	_, _, body := rawReply(t, address, text)
	if body != "" && !strings.HasPrefix(body, "request outer ") {
		t.Errorf("got the answer %q", body)
	}
	if ste.Runs("outer") > 1 || ste.Runs("hidden") > 1 {
		t.Errorf("ran %d and %d times", ste.Runs("outer"), ste.Runs("hidden"))
	}
}

func TestOperatorsNeedTheToken(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	address := ste.Entries()[0].Node().Settings().OperatorAddress
	for _, tst := range []struct {
		token string
		want  int
	}{{"", http.StatusUnauthorized}, {"Bearer wrong", http.StatusUnauthorized}, {"Bearer " + ste.Token(), http.StatusOK}} {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/table", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", tst.token)
		rsp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = rsp.Body.Close()
		if rsp.StatusCode != tst.want {
			t.Errorf("token %q: %d, want %d", tst.token, rsp.StatusCode, tst.want)
		}
	}
}

// A request whose body does not arrive must hold no slot, and be refused after the body
// timeout.
func TestSlowBodyIsRefused(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	cnn, err := net.Dial("tcp", ste.Entries()[0].Node().Settings().CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cnn.Close() }()
	if err := cnn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	head := "POST /s/gate/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow\r\nContent-Length: 10\r\n\r\nabc"
	if _, err := io.WriteString(cnn, head); err != nil {
		t.Fatal(err)
	}
	if total := ste.Entries()[0].Node().Dispatcher().TotalInFlight(); total != 0 {
		t.Errorf("%d slots are held", total)
	}
	rsp, err := http.ReadResponse(bufio.NewReader(cnn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.Header.Get("Daisywheel-Code") != "108" || ste.Runs("slow") != 0 {
		t.Errorf("code %q, ran %d times", rsp.Header.Get("Daisywheel-Code"), ste.Runs("slow"))
	}
}

func TestLimitsMustAgreeWithTheFleet(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	for _, tst := range []struct {
		change func(rw *wire.Row)
		want   code.Code
	}{
		{func(rw *wire.Row) { rw.DownVMs = 3 }, code.LimitConflict},
		{func(rw *wire.Row) { rw.LendVMs = 3 }, code.LimitConflict},
		{func(rw *wire.Row) { rw.Weight = 1 << 40 }, code.BadRow},
		{func(rw *wire.Row) { rw.DownVMs = 2 }, code.OK},
	} {
		rw := rowAt(t, ste, 0)
		edt := wire.Edit{BaseRev: rw.Rev, ChangeID: uuid.NewString()}
		tst.change(&rw)
		edt.Row = rw
		_, err := operatorAt(ste, 0).Change(context.Background(), http.MethodPut, "/v1/table/rows/gate", edt)
		if fault.CodeOf(err) != tst.want {
			t.Errorf("got %v, want %s", err, tst.want.Name())
		}
	}
}
