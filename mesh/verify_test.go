package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosethread/primrosethread/fakes"
)

// publishCustomers publishes a version of the routes with one customer that holds the keys.
func (d *deployment) publishCustomers(version int, keys ...string) {
	d.publishQuota(version, 0, keys...)
}

// publishQuota is publishCustomers with a quota, 0 for none.
func (d *deployment) publishQuota(version int, rate float64, keys ...string) {
	d.store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts", "public"},
			"rows": [][]any{{"r", "a.example", "/r/", "safe", 5000, 500, 1, "orders", 2, false}, {"p", "a.example", "/p/", "safe", 5000, 500, 1, "orders", 2, true}}},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows": [][]any{{"orders", "/healthz", 100, 1, 1000}, {"none", "/healthz", 100, 1, 1000}}},
		"tenants": map[string]any{"columns": []string{"name", "api_keys", "rate_per_s", "burst"}, "rows": [][]any{{"acme", keys, rate, rate}}},
	})
	d.waitFor(func() bool {
		for _, n := range d.nodes {
			if n.Status().Routing != uint64(version) {
				return false
			}
		}
		return true
	})
}

// sendWithKey sends a request that claims to be another customer's, and returns its status.
func (d *deployment) sendWithKey(i int, path, id, key string) int {
	d.t.Helper()
	q := d.request(i, path, id, "")
	q.Method = http.MethodGet
	q.Header.Set("X-Tenant", "forged")
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		d.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// headerOf returns the header with which a request ran, nil if it did not.
func (d *deployment) headerOf(id string) http.Header {
	for _, a := range d.apps {
		for _, r := range a.Runs() {
			if r.ID == id {
				return r.Header
			}
		}
	}
	return nil
}

// Guards against keys that reach a server, customers' names that a client claims, and requests
// without a valid key that run, on one host and between hosts.
func TestKeysOnWholePath(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.publishCustomers(2, "k-1", "k-2")
	for i := range 40 { // enough to run at both hosts
		id := fmt.Sprint("q-", i)
		is.Equal(d.sendWithKey(i%2, "/r/x", id, "k-1"), http.StatusOK)
		header := d.headerOf(id)
		is.Equal(header["X-Tenant"], []string{"acme"})
		is.Equal(header["Authorization"], nil)
		is.True(!strings.Contains(fmt.Sprint(header), "k-1"))
	}
	is.Equal(d.sendWithKey(0, "/p/x", "public", ""), http.StatusOK)
	is.Equal(d.headerOf("public")["X-Tenant"], nil)
	is.Equal(d.sendWithKey(0, "/r/x", "none", ""), http.StatusUnauthorized)
	is.Equal(d.sendWithKey(1, "/r/x", "unknown", "k-3"), http.StatusUnauthorized)
	d.publishCustomers(3, "k-2")
	is.Equal(d.sendWithKey(0, "/r/x", "revoked", "k-1"), http.StatusUnauthorized)
	is.Equal(d.sendWithKey(1, "/r/x", "kept", "k-2"), http.StatusOK)
	for _, id := range []string{"none", "unknown", "revoked"} {
		is.Equal(d.headerOf(id), nil)
	}
}

// Guards against keys that are accepted although nobody has heard of the store for long, and
// against keys that are refused on a host that the store doesn't reach while another one vouches
// for its routes.
func TestStrictRevocation(t *testing.T) {
	is := is.New(t)
	proxy, err := fakes.NewProxy("127.0.0.1:0", address(250, portStore))
	is.NoErr(err)
	t.Cleanup(func() {
		proxy.SetSilent(false, false)
		proxy.Close()
	})
	d := newDeploymentWith(t, deployment{strictRevoke: true, storeOf: map[int]string{0: proxy.Address()}}, 3)
	d.publishCustomers(2, "k")
	accepted := func(i int) bool {
		status := d.sendWithKey(i, "/r/x", "", "k")
		is.True(status != http.StatusUnauthorized) // the client would give up
		return status == http.StatusOK
	}
	for i := range d.nodes {
		d.waitFor(func() bool { return accepted(i) })
	}
	proxy.SetSilent(true, false)
	revoke := d.nodes[0].settings().RevokeTime
	for begin := time.Now(); time.Since(begin) < revoke+time.Second; time.Sleep(20 * time.Millisecond) {
		is.True(accepted(0))
	}
	is.True(d.nodes[0].Status().Requests.Counters["Verifications"] > 0)
	d.store.SetFault(fakes.Unavailable)
	for i := range d.nodes {
		d.waitFor(func() bool { return !accepted(i) })
	}
	is.Equal(d.sendWithKey(0, "/p/x", "", ""), http.StatusOK) // public
	d.store.SetFault(fakes.NoFault)
	for i := range d.nodes {
		d.waitFor(func() bool { return accepted(i) })
	}
}

// Guards against quotas that are not enforced over all nodes together, and against a quota that
// stays unusable on any of them.
func TestQuotaOnWholePath(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWith(t, deployment{strictRevoke: true}, 3)
	d.publishQuota(2, 20, "k")
	for i := range d.nodes {
		d.waitFor(func() bool {
			status := d.sendWithKey(i, "/r/x", "", "k")
			is.True(status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
			return status == http.StatusOK
		})
	}
	d.waitFor(func() bool { return d.sendWithKey(0, "/r/x", "", "k") == http.StatusTooManyRequests })
	before, begin := d.runs(), time.Now()
	for i := 0; time.Since(begin) < 5*time.Second; i++ {
		d.sendWithKey(i%3, "/r/x", "", "k")
	}
	took := time.Since(begin).Seconds()
	if n := float64(d.runs() - before); n > 20*(took+1)*1.25+20 {
		t.Errorf("%.0f requests ran in %.1f s with a quota of 20 a second", n, took)
	}
	is.Equal(d.sendWithKey(0, "/p/x", "", ""), http.StatusOK) // without a customer
	counters := d.nodes[0].Status().Requests.Counters
	is.True(counters["RejectedOverQuota"] > 0 && counters["QuotaMessages"] > 0)
}

// runs returns the number of requests that ran.
func (d *deployment) runs() (n int) {
	for _, a := range d.apps {
		n += len(a.Runs())
	}
	return n
}
