package front_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/front"
)

// documents holds one view.
type documents struct {
	prim.Documents
	view *prim.View
}

func (d documents) View() *prim.View { return d.view }

// recorder ignores what it is told.
type recorder struct{ prim.Recorder }

func (recorder) Count(string, int64) {}

// Guards against a node that calls a valid credential or service unknown while
// it has no documents yet.
func TestBeforeDocuments(t *testing.T) {
	is := is.New(t)
	digests := make(map[string]prim.Digest)
	for _, n := range prim.DocumentNames {
		r := mux.NewRouter()
		front.New(front.Config{Recorder: recorder{}, Documents: documents{view: prim.NewView(prim.ViewConfig{Digests: digests})}}).Mount(r)
		w := httptest.NewRecorder()
		q := httptest.NewRequest(http.MethodGet, "/bookings/slots", nil)
		q.Header.Set("Authorization", "Bearer token")
		r.ServeHTTP(w, q)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get(front.HeaderOutcome), "NotRun")
		is.Equal(w.Header().Get("Retry-After"), "1")
		digests[n] = prim.Digest{Name: n, Version: 1}
	}
}
