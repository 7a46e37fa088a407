package numberset_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"daisywheel/internal/job/numberset"
)

func TestSetHoldsWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set numberset.Set
		want := map[int]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "spans") {
			first := rapid.IntRange(0, 60).Draw(t, "first")
			last := first + rapid.IntRange(-1, 6).Draw(t, "length")
			set.AddSpan(numberset.Span{First: first, Last: last})
			for num := first; num <= last; num++ {
				want[num] = true
			}
		}
		if set.Len() != len(want) {
			t.Fatalf("%d numbers, want %d", set.Len(), len(want))
		}
		for num := -1; num < 70; num++ {
			if set.Has(num) != want[num] {
				t.Fatalf("has %d: %v", num, set.Has(num))
			}
		}
		spans := set.Spans()
		for i := 1; i < len(spans); i++ {
			if spans[i].First <= spans[i-1].Last+1 {
				t.Fatalf("spans %v touch", spans)
			}
		}
	})
}

func TestNumbersInOrderTakeOneSpan(t *testing.T) {
	var set numberset.Set
	for num := range 10000 {
		set.Add(num)
	}
	if want := []numberset.Span{{First: 0, Last: 9999}}; !slices.Equal(set.Spans(), want) {
		t.Errorf("spans %v, want %v", set.Spans(), want)
	}
}
