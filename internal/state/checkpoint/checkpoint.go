// Package checkpoint writes the fold as parts of bounded size and reads it back.
package checkpoint

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"daisywheel/internal/state/fleet"
)

// partBytes is the size of one part before encoding.
const partSize = 48 << 10

type partJSON struct {
	Offset int64  `json:"offset"`
	Index  int    `json:"index"`
	Count  int    `json:"count"`
	Sum    uint64 `json:"sum"`
	Data   []byte `json:"data"`
}

// Split cuts an encoded checkpoint at the offset into the records that go into
// the checkpoint stream.
func Split(offset int64, data []byte) ([][]byte, error) {
	count := (len(data) + partSize - 1) / partSize
	sum := xxhash.Sum64(data)
	parts := make([][]byte, 0, count)
	for idx := range count {
		chunk := data[idx*partSize : min(len(data), (idx+1)*partSize)]
		raw, err := json.Marshal(partJSON{Offset: offset, Index: idx, Count: count, Sum: sum, Data: chunk})
		if err != nil {
			return nil, errors.Wrap(err, "encode checkpoint part")
		}
		parts = append(parts, raw)
	}
	return parts, nil
}

// Assembler puts parts together again and keeps the newest whole checkpoint.
type Assembler struct {
	incomplete map[uint64]*partialCheckpoint
	newest     []byte
	offset     int64
}

type partialCheckpoint struct {
	chunks map[int][]byte
}

// NewAssembler returns an Assembler without parts.
func NewAssembler() *Assembler {
	return &Assembler{incomplete: map[uint64]*partialCheckpoint{}, offset: -1}
}

// Add takes one record of the checkpoint stream. Damaged records are ignored.
func (asm *Assembler) Add(raw []byte) {
	var prt partJSON
	if json.Unmarshal(raw, &prt) != nil || prt.Count < 1 || prt.Offset <= asm.offset {
		return
	}
	pcp, ok := asm.incomplete[prt.Sum]
	if !ok {
		pcp = &partialCheckpoint{chunks: map[int][]byte{}}
		asm.incomplete[prt.Sum] = pcp
	}
	pcp.chunks[prt.Index] = prt.Data
	if len(pcp.chunks) < prt.Count {
		return
	}
	var data []byte
	for idx := range prt.Count {
		data = append(data, pcp.chunks[idx]...)
	}
	delete(asm.incomplete, prt.Sum)
	if xxhash.Sum64(data) != prt.Sum {
		return
	}
	asm.newest = data
	asm.offset = prt.Offset
}

// Newest returns the newest whole checkpoint, if there is one.
func (asm *Assembler) Newest() ([]byte, bool) { return asm.newest, asm.newest != nil }

// Encode returns the snapshot of a fold in its checkpoint form.
func Encode(snp fleet.Snapshot) ([]byte, error) { return encode(snp) }

// Decode returns the fold that Encode wrote.
func Decode(cfg fleet.Config, data []byte) (*fleet.Fleet, error) {
	snp, err := decode(data)
	if err != nil {
		return nil, err
	}
	return fleet.Import(cfg, snp), nil
}
