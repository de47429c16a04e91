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

// fixedDocuments implements prim.Documents with a fixed view.
type fixedDocuments struct {
	prim.Documents
	view *prim.View
}

func (d fixedDocuments) View() *prim.View { return d.view }

// discardRecorder implements prim.Recorder and ignores counts.
type discardRecorder struct{ prim.Recorder }

func (discardRecorder) Count(string, int64) {}

// Guards against a node that rejects a valid credential or service as unknown
// before it has all documents.
func TestRequestBeforeDocuments(t *testing.T) {
	is := is.New(t)
	digests := make(map[string]prim.Digest)
	for _, n := range prim.DocumentNames {
		r := mux.NewRouter()
		front.New(front.Config{Recorder: discardRecorder{}, Documents: fixedDocuments{view: prim.NewView(prim.ViewConfig{Digests: digests})}}).Mount(r)
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
