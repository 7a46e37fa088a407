// Package numberset is a set of numbers that come almost in order, such as the occurrences of
// a job that are done. It needs space for each gap, not for each number.
package numberset

import "slices"

// Span is a range of numbers, both ends included.
type Span struct{ First, Last int }

// Set is a set of numbers. The zero Set is empty.
type Set struct {
	spans []Span // ascending, with at least one number between two
	count int
}

// Len returns how many numbers the set has.
func (set *Set) Len() int { return set.count }

// Spans returns the ranges of the set in ascending order.
func (set *Set) Spans() []Span { return slices.Clone(set.spans) }

// Clone returns a copy.
func (set *Set) Clone() Set { return Set{spans: slices.Clone(set.spans), count: set.count} }

// Has reports whether the set has the number.
func (set *Set) Has(num int) bool {
	i := set.find(num)
	return i < len(set.spans) && set.spans[i].First <= num
}

// find returns the index of the first span that ends at the number or after it.
func (set *Set) find(num int) int {
	i, _ := slices.BinarySearchFunc(set.spans, num, func(spn Span, num int) int { return spn.Last - num })
	return i
}

// Add adds a number.
func (set *Set) Add(num int) { set.AddSpan(Span{num, num}) }

// AddSpan adds the numbers of a span. It ignores a span that ends before it begins.
func (set *Set) AddSpan(spn Span) {
	if spn.Last < spn.First {
		return
	}
	from := set.find(spn.First - 1) // a span that ends just before is joined
	to := from
	for to < len(set.spans) && set.spans[to].First <= spn.Last+1 {
		spn = Span{min(spn.First, set.spans[to].First), max(spn.Last, set.spans[to].Last)}
		set.count -= set.spans[to].Last - set.spans[to].First + 1
		to++
	}
	set.spans = slices.Replace(set.spans, from, to, spn)
	set.count += spn.Last - spn.First + 1
}
