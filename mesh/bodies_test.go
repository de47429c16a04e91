package mesh

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against a large body that fails on its way to a server, on this host or on another
// one, and against one over the limit that is not rejected as such.
func TestLargeBody(t *testing.T) {
	is := is.New(t)
	// A busy machine takes seconds for the longest body, which gets 408 after the timeout.
	const timeout = time.Minute
	d := newDeploymentWith(t, deployment{routeTimeout: timeout}, 2)
	send := func(id string, body io.Reader) (int, string) {
		t.Helper()
		q, err := http.NewRequest("POST", "http://"+address(1, portCallers)+"/r/x", body)
		is.NoErr(err)
		q.Host = "a.example"
		q.Header.Set("X-Attempt-Id", id)
		q.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp.StatusCode, string(b)
	}
	for host := range 2 {
		d.publishEntry(1-host, "draining")
		d.publishEntry(host, "ready")
		d.waitFor(func() bool {
			return d.nodes[1-host].Status().Load.Leaving && !d.nodes[host].Status().Load.Leaving
		})
		d.waitFor(func() bool { code, _ := d.send(0, "warm"); return code == 200 })
		for _, n := range []int{1 << 20, 1<<20 + 1, 9 << 20} {
			id := fmt.Sprintf("q-%d-%d", host, n)
			status, body := send(id, bytes.NewReader(make([]byte, n)))
			is.Equal(status, 200)
			is.Equal(body, fmt.Sprintf("orders answers %s with %d bytes", id, n))
			is.Equal(d.ranAt(id), host)
		}
	}
	is.Equal(d.nodes[0].Status().Peers.BodiesSent, int64(2))
	is.Equal(d.nodes[1].Status().Peers.BodiesReceived, int64(2))
	status, _ := send("q-over", io.LimitReader(zeros{}, prim.MaxRequestBody+1))
	is.True(status == http.StatusRequestEntityTooLarge || status == 0) // the connection closes while the body is sent
	is.Equal(d.ranAt("q-over"), -1)
}

// zeros is a reader of zeros without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
