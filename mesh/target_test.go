package mesh

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a path or query that is changed on its way from a client to a server, on one host
// and between hosts: the server runs a request for another resource.
func TestTargetReachesServerUnchanged(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	var mu sync.Mutex
	targets := make(map[string]string) // by attempt ID
	for i := range d.servers {
		d.servers[i].Close()
		d.servers[i] = d.serve(address(i+1, portServer), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			targets[r.Header.Get("X-Attempt-Id")] = r.RequestURI
			mu.Unlock()
			d.apps[i].ServeHTTP(w, r)
		}))
	}
	d.waitFor(func() bool { status, _ := d.send(0, "warm"); return status == 200 })
	d.publishEntry(1, "draining") // requests at host 1 go through the node of host 0
	d.waitFor(func() bool { return d.nodes[1].Status().Load.Leaving })
	for n, target := range []string{
		"/r/a%2Fb|c", "/r/a|b?day=5|6", "/r/\"<>\\^`{}", "/r/\xc3\xa4?\xff", "/r//a%7c", "/r/a?", "/r/a#b", "/r/../b|", "/r/x%2fy?z=%2F",
	} {
		for from := range 2 {
			id := fmt.Sprintf("q-%d-%d", n, from)
			conn, err := net.Dial("tcp", address(from+1, portCallers))
			is.NoErr(err)
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", target, id)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			conn.Close()
			is.Equal(resp.StatusCode, 200)
			mu.Lock()
			is.Equal(targets[id], target)
			mu.Unlock()
		}
	}
}
