package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// answer is what a client reads from a response of the store.
type answer struct {
	Status   int
	Era      string
	Revision uint64 `json:"at"`
	Items    []item `json:"items"`
	Events   []item `json:"events"`
}

// get calls the store and waits for its answer.
func get(t *testing.T, s *Store, path string) (a answer) {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
			t.Errorf("%s: %v in %q", path, err, w.Body) // get may run outside the goroutine of the test
		}
	}
	a.Status, a.Era = w.Code, w.Header().Get("Store-Era")
	return a
}

// startWatch starts a watch of all keys that waits up to an hour, and returns when it
// waits. The function that it returns reports the answer, or fails the test if there
// is none yet.
func startWatch(t *testing.T, s *Store, after uint64) (result func() answer) {
	t.Helper()
	answers := make(chan answer, 1)
	go func() { answers <- get(t, s, watchPath(after, 3_600_000)) }()
	synctest.Wait()
	if len(answers) > 0 {
		t.Fatalf("the watch from revision %d did not wait: %+v", after, <-answers)
	}
	return func() answer {
		t.Helper()
		synctest.Wait()
		select {
		case a := <-answers:
			return a
		default:
			t.Fatalf("the watch from revision %d still waits", after)
			return answer{}
		}
	}
}

func watchPath(after uint64, waitMS int) string {
	return fmt.Sprintf("/v1/kv-watch?prefix=&after=%d&wait_ms=%d", after, waitMS)
}

const rangePath = "/v1/kv-range?prefix="

// values returns the values of items by key, with "deleted" for removals.
func values(items []item) map[string]string {
	m := make(map[string]string)
	for _, i := range items {
		m[i.Key] = string(i.Value)
		if i.Tombstone {
			m[i.Key] = "deleted"
		}
	}
	return m
}

// Guards against a response without the era or with that of before the restore: its
// reader would not notice that the store lost changes.
func TestEraInEveryResponse(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	s.Put("a", 1)
	for _, era := range []string{"1", "2", "3"} {
		check := func(path string, status int) {
			t.Helper()
			a := get(t, s, path)
			is.Equal(a.Status, status)
			is.Equal(a.Era, era)
		}
		check(rangePath, http.StatusOK)
		check(watchPath(1, 0), http.StatusOK)
		check(watchPath(0, 0), http.StatusGone)
		check("/v1/other", http.StatusNotFound)
		s.SetFault(Unavailable)
		check(rangePath, http.StatusServiceUnavailable)
		check(watchPath(1, 0), http.StatusServiceUnavailable)
		s.SetFault(NoFault)
		s.Restore(s.Copy())
	}
}

// Guards against a restore that keeps changes made after the copy, in the keys, the
// revision or the history, or that gives out new revisions instead of the lost ones.
func TestRestore(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	s.Put("kept", 1)    // revision 2
	s.Put("changed", 1) // 3
	s.Put("removed", 1) // 4
	c := s.Copy()
	// A copy can be restored several times, and writes after a restore do not change it.
	for range 2 {
		s.Put("changed", 2) // 5
		s.Delete("removed") // 6
		s.Put("added", 2)   // 7
		is.Equal(values(get(t, s, rangePath).Items), map[string]string{"kept": "1", "changed": "2", "added": "2"})

		s.Restore(c)
		a := get(t, s, rangePath)
		is.Equal(a.Revision, uint64(4))
		is.Equal(values(a.Items), map[string]string{"kept": "1", "changed": "1", "removed": "1"})
		is.Equal(values(get(t, s, watchPath(1, 0)).Events), map[string]string{"kept": "1", "changed": "1", "removed": "1"})

		s.Put("other", 3)
		a = get(t, s, watchPath(4, 0))
		is.Equal(a.Revision, uint64(5))
		is.Equal(values(a.Events), map[string]string{"other": "3"})
		is.Equal(a.Events[0].Rev, uint64(5))
		s.Restore(c)
	}
}

// Guards against a compaction that outlasts the restore of an older copy: the history
// of the copy is complete.
func TestRestoreOfHistory(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	s.Put("a", 1) // revision 2
	c := s.Copy()
	s.Put("b", 1) // 3
	s.Compact()
	compacted := s.Copy()
	is.Equal(get(t, s, watchPath(2, 0)).Status, http.StatusGone)
	s.Restore(c)
	is.Equal(values(get(t, s, watchPath(1, 0)).Events), map[string]string{"a": "1"})
	s.Restore(compacted)
	is.Equal(get(t, s, watchPath(2, 0)).Status, http.StatusGone)
	is.Equal(get(t, s, watchPath(3, 0)).Status, http.StatusOK)
}

// Guards against a watch that waits for a lost revision to be given out again, and so
// hides the restore from its client.
func TestWatchFromLostRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		s.Put("a", 1) // revision 2
		c := s.Copy()
		s.Put("a", 2) // 3
		waiting := startWatch(t, s, 3)
		s.Restore(c)
		a := waiting()
		is.Equal(a.Status, http.StatusGone)
		is.Equal(a.Era, "2")

		a = get(t, s, watchPath(3, 0))
		is.Equal(a.Status, http.StatusGone)
		is.Equal(a.Era, "2")
		is.Equal(get(t, s, watchPath(2, 0)).Status, http.StatusOK) // the newest revision is not lost
	})
}

// Guards against a stand-in without the dangerous case: the store answers a watch from
// a revision of the old era, and only the header says that changes before that revision
// are other ones than the client has.
func TestWatchFromRevisionIssuedAgain(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	s.Put("a", 1) // revision 2
	c := s.Copy()
	s.Put("a", 2) // 3
	is.Equal(get(t, s, watchPath(2, 0)).Era, "1")
	s.Restore(c)
	s.Put("b", 3) // 3 again
	s.Put("c", 3) // 4
	a := get(t, s, watchPath(3, 0))
	is.Equal(a.Status, http.StatusOK)
	is.Equal(a.Era, "2")
	is.Equal(a.Revision, uint64(4))
	is.Equal(values(a.Events), map[string]string{"c": "3"}) // neither b nor the loss of a's change
}

// Guards against an answer with the header of one era and the contents of another, from
// a call that was waiting during the restore.
func TestEraAfterWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		s.Put("a", 1) // revision 2
		c := s.Copy()
		waiting := startWatch(t, s, 2) // the copy has this revision
		s.SetFault(MissedChanges)
		s.Put("a", 2) // 3
		s.Restore(c)
		s.SetFault(NoFault)
		s.Put("b", 3) // 3 again
		a := waiting()
		is.Equal(a.Era, "2")
		is.Equal(values(a.Events), map[string]string{"b": "3"})

		s.SetFault(Unresponsive)
		held := make(chan answer, 1)
		go func() { held <- get(t, s, rangePath) }()
		synctest.Wait()
		is.Equal(len(held), 0)
		s.Restore(c)
		s.SetFault(NoFault)
		a = <-held
		is.Equal(a.Era, "3")
		is.Equal(values(a.Items), map[string]string{"a": "1"})
	})
}
