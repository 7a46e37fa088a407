// Package jsontype holds the JSON types that records and checkpoints share.
package jsontype

import (
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/row"
)

// Shape is the JSON type of an amount of processor cores, memory and accelerators.
type Shape struct {
	Cores        int `json:"cores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// FromShape returns shp as its JSON type.
func FromShape(shp shape.Shape) Shape {
	return Shape{Cores: shp.Cores(), MemoryMB: shp.MemoryMB(), Accelerators: shp.Accelerators()}
}

// Shape is the inverse of FromShape.
func (shp Shape) Shape() shape.Shape { return shape.New(shape.Config(shp)) }

// Row is the JSON type of a row of the table.
type Row struct {
	Pool       string `json:"pool"`
	Service    string `json:"service"`
	Weight     int    `json:"weight"`
	TakeSlots  int    `json:"takeSlots"`
	LendSlots  int    `json:"lendSlots"`
	TakeVMs    int    `json:"takeVMs"`
	LendVMs    int    `json:"lendVMs"`
	DownVMs    int    `json:"downVMs"`
	Queue      int    `json:"queue"`
	DeadlineMs int    `json:"deadlineMs"`
	Note       string `json:"note,omitempty"`
}

// FromRow returns cfg as its JSON type.
func FromRow(cfg row.Config) Row { return Row(cfg) }

// Config is the inverse of FromRow.
func (rw Row) Config() row.Config { return row.Config(rw) }
