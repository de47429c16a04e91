package prim

import (
	"fmt"
	"log/slog"
)

// Revision identifies a state of a registry. Its upper 16 bits are the era of the
// registry and the lower 48 bits the number of the change within its history. A registry
// that is restored from a copy loses its newest changes, begins the next era, and gives
// out their numbers again, so numbers are comparable only within an era. Revisions are
// totally ordered: each one of an era is above all of earlier eras. Zero is below all.
type Revision uint64

const (
	revisionNumberBits = 48
	// MaxEra and MaxRevisionNumber are the largest parts of a revision.
	MaxEra            = 1<<(64-revisionNumberBits) - 1
	MaxRevisionNumber = 1<<revisionNumberBits - 1
)

// RevisionRangeError is the error of an era or a number that does not fit into a
// Revision.
type RevisionRangeError struct{ Era, Number uint64 }

// Error names the remedy.
func (e *RevisionRangeError) Error() string {
	return fmt.Sprintf("revision %d of era %d is out of range, the largest are %d and %d; check the registry", e.Number, e.Era, uint64(MaxRevisionNumber), MaxEra)
}

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number uint64) (Revision, error) {
	if era > MaxEra || number > MaxRevisionNumber {
		return 0, &RevisionRangeError{era, number}
	}
	return Revision(era<<revisionNumberBits | number), nil
}

// Era returns the era, 0 for a registry that has none.
func (r Revision) Era() uint64 { return uint64(r) >> revisionNumberBits }

// Number returns the number within the history of the era.
func (r Revision) Number() uint64 { return uint64(r) & MaxRevisionNumber }

// String returns the number, after the era and a colon if there is an era.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Number())
}

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value { return slog.StringValue(r.String()) }
