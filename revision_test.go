package prim_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

func ExampleRevision() {
	before, _ := prim.NewRevision(1, 100)
	after, _ := prim.NewRevision(2, 95)
	fmt.Println(before, after, before < after)
	// Output: 1:100 2:95 true
}

// Guards against a change of a restored registry that counts as older than what the
// registry lost.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		eras, numbers := rapid.Uint64Range(0, prim.MaxEra), rapid.Uint64Range(0, prim.MaxRevisionNumber)
		e, n := eras.Draw(t, "era"), numbers.Draw(t, "number")
		f, m := eras.Draw(t, "other era"), numbers.Draw(t, "other number")
		a, err := prim.NewRevision(e, n)
		is.NoErr(err)
		b, err := prim.NewRevision(f, m)
		is.NoErr(err)
		is.Equal(a.Era(), e)
		is.Equal(a.Number(), n)
		is.Equal(a < b, e < f || e == f && n < m)
	})
}

// Guards against parts that overflow into each other.
func TestRevisionRange(t *testing.T) {
	is := is.New(t)
	for _, v := range [][2]uint64{{prim.MaxEra + 1, 0}, {0, prim.MaxRevisionNumber + 1}} {
		_, err := prim.NewRevision(v[0], v[1])
		var rangeErr *prim.RevisionRangeError
		is.True(errors.As(err, &rangeErr))
	}
}
