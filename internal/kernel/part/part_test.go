package part_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/kernel/part"
)

func TestDutiesStopTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var parts []*part.Part
		for range 4 {
			parts = append(parts, part.Start("slow", func(quit <-chan struct{}) {
				<-quit
				time.Sleep(time.Second) // a call that has to end first
			}))
		}
		began := time.Now()
		part.StopAll(parts...)
		if took := time.Since(began); took > time.Second {
			t.Errorf("four duties of a second each took %s to stop", took)
		}
	})
}
