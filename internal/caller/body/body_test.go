package body_test

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/caller/body"
	"daisywheel/internal/caller/budget"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

func open(t *testing.T, maxBytes int64) (*budget.Budget, *budget.Holder) {
	t.Helper()
	bgt := budget.New(budget.Config{MaxBytes: maxBytes, MaxConnections: 9, Metrics: metrics.NewSet(), Event: func(time.Time, string, ...slog.Attr) {}})
	hld, ok := bgt.Open(time.Now(), "a", func() {})
	if !ok {
		t.Fatal("no connection")
	}
	return bgt, hld
}

func TestRead(t *testing.T) {
	const limit = 10000
	plenty := int64(1 << 20)
	long := strings.Repeat("x", limit)
	for _, tst := range []struct {
		name     string
		body     io.Reader
		length   int64 // announced
		maxBytes int64
		want     code.Code
	}{
		{"empty", strings.NewReader(""), 0, plenty, code.OK},
		{"as long as allowed", strings.NewReader(long), limit, plenty, code.OK},
		{"the same in chunks of a byte", iotest.OneByteReader(strings.NewReader(long)), -1, plenty, code.OK},
		{"one byte more", strings.NewReader(long + "x"), -1, plenty, code.BodyTooLarge},
		{"announced far over", iotest.ErrReader(errors.New("it must not be read")), 9e9, plenty, code.BodyTooLarge},
		{"cut", io.MultiReader(strings.NewReader(long[:5000]), iotest.ErrReader(io.ErrUnexpectedEOF)), limit, plenty, code.BodyCut},
		{"late", io.MultiReader(strings.NewReader(long[:5000]), iotest.ErrReader(os.ErrDeadlineExceeded)), limit, plenty, code.BodyLate},
		{"no room", strings.NewReader(long), limit, budget.ConnectionBytes + 5000, code.MemoryLimit},
	} {
		bgt, hld := open(t, tst.maxBytes)
		req := httptest.NewRequest(http.MethodPost, "/", tst.body)
		req.ContentLength = tst.length
		rdr := &body.Reader{Holder: hld, Limit: limit, Now: time.Now}
		data, err := rdr.Read(req)
		if fault.CodeOf(err) != tst.want {
			t.Errorf("%s: error %v, want code %d", tst.name, err, tst.want)
		}
		if err == nil && string(data) != long && len(data) > 0 {
			t.Errorf("%s: %d bytes are not those that were sent", tst.name, len(data))
		}
		if tst.want == code.MemoryLimit && fault.RetryAfterOf(err) == 0 {
			t.Errorf("%s: no time to come back", tst.name)
		}
		if held := bgt.Used() - budget.ConnectionBytes; held < int64(len(data)) {
			t.Errorf("%s: %d bytes are charged for %d", tst.name, held, len(data))
		}
		rdr.Release()
		if held := bgt.Used() - budget.ConnectionBytes; held != 0 {
			t.Errorf("%s: %d bytes stay charged", tst.name, held)
		}
	}
}
