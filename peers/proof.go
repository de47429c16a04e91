package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The handshake. The dialling side sends its name, its instance, the host that
// it means, the time and a random nonce under an HMAC of the fleet key. The
// accepting side answers with its own name and instance under an HMAC over the
// caller's proof, so an answer can't be replayed to another dial.

// Path is where nodes accept links.
const Path = "/peer"

// MinKey is the smallest fleet key in bytes.
const MinKey = 32

// proofAge is how far apart the two hosts' clocks may be. It also bounds how
// long a recorded upgrade could be replayed.
const proofAge = 30 * time.Second

const (
	headerProof    = "Primrosethread-Proof"
	headerHost     = "Primrosethread-Host"
	headerInstance = "Primrosethread-Instance"
)

func sign(key []byte, parts ...string) string {
	m := hmac.New(sha256.New, key)
	for _, s := range parts {
		fmt.Fprintf(m, "%d:%s", len(s), s)
	}
	return hex.EncodeToString(m.Sum(nil))
}

// prove returns the proof of a dial to host.
func prove(key []byte, self prim.HostName, i prim.Instance, to prim.HostName, now time.Time) string {
	at := strconv.FormatInt(now.UnixMilli(), 10)
	nonce := rand.Text()
	mac := sign(key, "dial", string(self), i.String(), string(to), at, nonce)
	return strings.Join([]string{at, nonce, mac}, " ")
}

// verify checks the proof in the headers of an upgrade to this host.
func verify(key []byte, h http.Header, self prim.HostName, now time.Time) (prim.HostName, error) {
	parts := strings.Split(h.Get(headerProof), " ")
	if len(parts) != 3 {
		return "", fmt.Errorf("header %s is missing or malformed; dial with the fleet key", headerProof)
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return "", fmt.Errorf("time in header %s: %w", headerProof, err)
	}
	if d := now.Sub(time.UnixMilli(ms)).Abs(); d > proofAge {
		return "", fmt.Errorf("proof is %s old; set both hosts' clocks", d.Round(time.Millisecond))
	}
	from := h.Get(headerHost)
	want := sign(key, "dial", from, h.Get(headerInstance), string(self), parts[0], parts[1])
	if from == "" || !hmac.Equal([]byte(want), []byte(parts[2])) {
		return "", fmt.Errorf("proof does not match; give all nodes the same fleet key")
	}
	return prim.HostName(from), nil
}

// countersign returns the accepting side's proof.
func countersign(key []byte, self prim.HostName, i prim.Instance, proof string) string {
	return sign(key, "accept", string(self), i.String(), proof)
}

// prove returns the proof for a dial to host; it is empty without keys.
func (p *Peers) prove(host prim.HostName) string {
	if p.c.Keyless {
		return ""
	}
	return prove(p.c.Key, p.c.Self, p.c.Instance, host, time.Now())
}

// proved reports whether the accepting side has proved the key.
func (p *Peers) proved(h http.Header, host prim.HostName, i prim.Instance, proof string) bool {
	return p.c.Keyless || h.Get(headerProof) == countersign(p.c.Key, host, i, proof)
}
