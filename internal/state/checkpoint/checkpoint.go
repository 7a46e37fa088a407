// Package checkpoint encodes the applied state, splits it into parts of bounded size
// for the log, and restores it from them.
package checkpoint

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"daisywheel/internal/state/fleet"
)

// partSize is the number of bytes of checkpoint data in one part, before the part is
// encoded.
const partSize = 48 << 10

type partJSON struct {
	Offset int64  `json:"offset"`
	Index  int    `json:"index"`
	Count  int    `json:"count"`
	Sum    uint64 `json:"sum"`
	Data   []byte `json:"data"`
}

// Split divides an encoded checkpoint into the records that are appended to the
// checkpoint stream. The offset is the log offset that the checkpoint has reached.
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

// Assembler joins the parts of checkpoints and keeps the newest complete one.
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

// Add adds one record of the checkpoint stream. Damaged records are ignored, and so
// are checkpoints that are not newer than the newest complete one.
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

// Newest returns the newest complete checkpoint, if there is one.
func (asm *Assembler) Newest() ([]byte, bool) { return asm.newest, asm.newest != nil }

// Encode returns the snapshot as an encoded checkpoint.
func Encode(snp fleet.Snapshot) ([]byte, error) { return encode(snp) }

// Decode returns a Fleet with the state of a checkpoint that Encode returned.
func Decode(cfg fleet.Config, data []byte) (*fleet.Fleet, error) {
	snp, err := decode(data)
	if err != nil {
		return nil, err
	}
	return fleet.Import(cfg, snp), nil
}
