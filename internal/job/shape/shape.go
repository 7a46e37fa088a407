// Package shape describes the capacity of a VM and the demand of a job.
package shape

import "fmt"

// Shape is an amount of processors, memory and accelerators.
type Shape struct {
	cores        int
	memoryMB     int
	accelerators int
}

// Config holds the amounts of a Shape. MemoryMB is in mebibytes.
type Config struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

// New returns a Shape with the amounts of cfg.
func New(cfg Config) Shape {
	return Shape{cores: cfg.Cores, memoryMB: cfg.MemoryMB, accelerators: cfg.Accelerators}
}

// Cores returns the number of processor cores.
func (shp Shape) Cores() int { return shp.cores }

// MemoryMB returns the memory in mebibytes.
func (shp Shape) MemoryMB() int { return shp.memoryMB }

// Accelerators returns the number of accelerators.
func (shp Shape) Accelerators() int { return shp.accelerators }

// Fits reports whether free covers shp.
func (shp Shape) Fits(free Shape) bool {
	return shp.cores <= free.cores && shp.memoryMB <= free.memoryMB && shp.accelerators <= free.accelerators
}

// Plus returns the sum of shp and oth.
func (shp Shape) Plus(oth Shape) Shape {
	return Shape{shp.cores + oth.cores, shp.memoryMB + oth.memoryMB, shp.accelerators + oth.accelerators}
}

// Minus returns shp less oth. Amounts can become negative.
func (shp Shape) Minus(oth Shape) Shape {
	return Shape{shp.cores - oth.cores, shp.memoryMB - oth.memoryMB, shp.accelerators - oth.accelerators}
}

// IsValid reports whether no amount is negative and at least one is positive.
func (shp Shape) IsValid() bool {
	if shp.cores < 0 || shp.memoryMB < 0 || shp.accelerators < 0 {
		return false
	}
	return shp.cores+shp.memoryMB+shp.accelerators > 0
}

// String returns the amounts in human-readable form.
func (shp Shape) String() string {
	return fmt.Sprintf("%d cores, %d MB, %d accelerators", shp.cores, shp.memoryMB, shp.accelerators)
}
