package peers_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/wire"
)

// Guards against a second copy of the response to an earlier call on a link that is taken
// for the response to another call, which runs; and against a link that closes for it.
func TestSecondCopyOfResponse(t *testing.T) {
	is := is.New(t)
	instance := prim.NewInstance()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Primrosethread-Instance", instance.String())
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		var earlier [][]byte
		for {
			_, b, err := conn.Read(r.Context())
			if err != nil {
				return
			}
			call, _, err := wire.Split(b)
			if err != nil {
				return
			}
			h := wire.AnswerHeader(call.ID, &prim.Answer{Status: 200})
			if call.Path == "/refused" {
				h = wire.ErrorHeader(call.ID, &prim.RefusalError{Reason: prim.ReasonBusy})
			}
			frame, err := wire.Append(nil, &h, nil)
			if err != nil {
				return
			}
			for _, f := range append(earlier, frame) {
				if conn.Write(r.Context(), websocket.MessageBinary, f) != nil {
					return
				}
			}
			earlier = append(earlier, frame)
		}
	}))
	defer s.Close()
	p, err := peers.New(peers.Config{Self: "a", Instance: prim.NewInstance(), Keyless: true,
		Resolve: func(prim.HostName) (netip.AddrPort, bool) {
			return netip.MustParseAddrPort(s.Listener.Addr().String()), true
		}})
	is.NoErr(err)
	defer p.Close()
	for range 5 {
		_, err := p.Owner("b").Dispatch(t.Context(), request("/refused"))
		is.Equal(prim.OutcomeOf(err), prim.NotRun)
		a, err := p.Owner("b").Dispatch(t.Context(), request("/runs"))
		is.NoErr(err)
		is.Equal(a.Status, 200)
	}
	is.Equal(p.Status().Dialled, int64(1))
}
