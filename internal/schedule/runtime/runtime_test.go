package runtime_test

import (
	"testing"
	"time"

	"daisywheel/internal/schedule/runtime"
)

func TestModelLearnsRatio(t *testing.T) {
	var mdl runtime.Model
	for range 200 {
		mdl.Observe(time.Second, 1900*time.Millisecond)
	}
	if got := mdl.Expect(2 * time.Second); got < 3700*time.Millisecond || got > 3900*time.Millisecond {
		t.Errorf("expects %s of 2 s declared, want about 3.8 s", got)
	}
}

func TestModelIgnoresStuckVM(t *testing.T) {
	var mdl runtime.Model
	for range 100 {
		mdl.Observe(time.Second, time.Second)
	}
	mdl.Observe(time.Second, time.Hour)
	if got := mdl.Expect(time.Second); got > 1300*time.Millisecond {
		t.Errorf("one stuck step makes it expect %s", got)
	}
	mdl.Observe(0, time.Second)
}
