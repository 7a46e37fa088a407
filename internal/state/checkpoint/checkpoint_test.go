package checkpoint

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"daisywheel/internal/state/fleet"
)

// split returns a checkpoint of random bytes and its parts.
func split(t testing.TB, offset int64, size int) ([]byte, [][]byte) {
	t.Helper()
	data := make([]byte, size)
	rnd := rand.New(rand.NewPCG(uint64(offset), 1))
	for idx := range data {
		data[idx] = byte(rnd.Uint32())
	}
	parts, err := Split(offset, data)
	if err != nil {
		t.Fatal(err)
	}
	return data, parts
}

func TestNewestCompleteCheckpointIsReturned(t *testing.T) {
	old, oldParts := split(t, 10, 3*partSize+5)
	newer, newerParts := split(t, 20, 2*partSize)
	asm := NewAssembler()
	asm.Add([]byte("garbage"))
	for idx := range oldParts {
		asm.Add(oldParts[len(oldParts)-1-idx])
	}
	asm.Add(newerParts[0]) // its writer stopped before the second part
	if got, ok := asm.Newest(); !ok || !bytes.Equal(got, old) {
		t.Fatal("the older, complete checkpoint was not returned")
	}
	asm.Add(newerParts[1])
	asm.Add(oldParts[0])
	if got, _ := asm.Newest(); !bytes.Equal(got, newer) {
		t.Fatal("the newer checkpoint was not returned")
	}
}

// FuzzCheckpoint checks that damaged parts and checkpoints cause no panic.
func FuzzCheckpoint(f *testing.F) {
	_, parts := split(f, 1, 100)
	f.Add(parts[0])
	data, err := Encode(fleet.New(fleet.Config{}).Export())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		asm := NewAssembler()
		asm.Add(raw)
		_, _ = asm.Newest()
		_, _ = Decode(fleet.Config{}, raw)
	})
}
