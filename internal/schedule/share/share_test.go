package share_test

import (
	"slices"
	"testing"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/share"
)

func cores(num int64) plan.Demand { return plan.Demand{MilliCores: 1000 * num, MemoryMB: num} }

// One organisation sends eight times as much as its part while two others send their usual.
func TestOneOrganisationSendsManyTimesItsUsual(t *testing.T) {
	weights := map[string]float64{"hot": 1, "calm": 1, "large": 2}
	pol := share.Pool{
		Capacity: cores(40), Used: map[string]plan.Demand{"hot": cores(6), "large": cores(2)},
		Weight: func(name string) float64 { return weights[name] },
	}
	works := []share.Work{
		{"hot", cores(4)}, {"hot", cores(4)}, {"hot", cores(20)}, {"calm", cores(4)}, {"", cores(4)}, {"large", cores(16)}, {"large", cores(4)}, {"hot", cores(40)},
	}
	// Parts of 10, 10 and 20 cores: work that begins within them goes first.
	want := []bool{false, true, true, false, false, false, false, true}
	if got := share.Beyond(pol, works); !slices.Equal(got, want) {
		t.Errorf("beyond %t, want %t", got, want)
	}
}

func TestNothingIsBeyondWhileAllFits(t *testing.T) {
	pol := share.Pool{Capacity: cores(40), Used: map[string]plan.Demand{"a": cores(10)}, Weight: func(string) float64 { return 1 }}
	if got := share.Beyond(pol, []share.Work{{"a", cores(20)}, {"b", cores(10)}}); got != nil {
		t.Errorf("beyond %t, want none", got)
	}
}

// The part is that of the resource of which most is used.
func TestDominantResource(t *testing.T) {
	pol := share.Pool{Capacity: plan.Demand{MilliCores: 1000, MemoryMB: 1000}, Weight: func(string) float64 { return 1 }}
	memory := plan.Demand{MilliCores: 10, MemoryMB: 600}
	if got := share.Beyond(pol, []share.Work{{"a", memory}, {"a", memory}, {"b", memory}}); !slices.Equal(got, []bool{false, true, false}) {
		t.Errorf("beyond %t", got)
	}
}

// An organisation without a weight in the configuration gets what the others leave.
func TestOrganisationWithoutWeight(t *testing.T) {
	pol := share.Pool{Capacity: cores(10), Used: map[string]plan.Demand{"gone": cores(1)}, Weight: func(name string) float64 {
		if name == "gone" {
			return 0
		}
		return 1
	}}
	if got := share.Beyond(pol, []share.Work{{"gone", cores(5)}, {"a", cores(5)}}); !slices.Equal(got, []bool{true, false}) {
		t.Errorf("beyond %t", got)
	}
}
