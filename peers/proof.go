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

// The handshake authenticates both sides with the fleet key. The dialling side
// sends an HMAC over its name, its instance, the name of the host that it dials,
// the time and a random nonce. The accepting side answers with an HMAC over its
// own name and instance and the dialler's proof, so its answer can't be replayed
// to another dial.

// Path is the URL path at which nodes accept links.
const Path = "/peer"

// MinKeyBytes is the minimum length of the fleet key.
const MinKeyBytes = 32

// maxClockSkew is the maximum difference between the clocks of two hosts. It also
// bounds how long a recorded upgrade request can be replayed.
const maxClockSkew = 30 * time.Second

const (
	headerProof    = "Primrosethread-Proof"
	headerHost     = "Primrosethread-Host"
	headerInstance = "Primrosethread-Instance"
)

// sign returns the hex HMAC-SHA256 of parts. Each part is prefixed with its
// length, so that different lists of parts never give the same input.
func sign(key []byte, parts ...string) string {
	m := hmac.New(sha256.New, key)
	for _, s := range parts {
		fmt.Fprintf(m, "%d:%s", len(s), s)
	}
	return hex.EncodeToString(m.Sum(nil))
}

// newDialProof returns the proof that host self sends when it dials host to.
func newDialProof(key []byte, self prim.HostName, i prim.Instance, to prim.HostName, now time.Time) string {
	at := strconv.FormatInt(now.UnixMilli(), 10)
	nonce := rand.Text()
	mac := sign(key, "dial", string(self), i.String(), string(to), at, nonce)
	return strings.Join([]string{at, nonce, mac}, " ")
}

// verifyDialProof verifies the proof in the headers of an upgrade request to host
// self and returns the name of the dialling host.
func verifyDialProof(key []byte, h http.Header, self prim.HostName, now time.Time) (prim.HostName, error) {
	parts := strings.Split(h.Get(headerProof), " ")
	if len(parts) != 3 {
		return "", fmt.Errorf("header %s is missing or malformed; dial with the fleet key", headerProof)
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return "", fmt.Errorf("time in header %s: %w", headerProof, err)
	}
	if skew := now.Sub(time.UnixMilli(ms)).Abs(); skew > maxClockSkew {
		return "", fmt.Errorf("time of the proof is off by %s; synchronise the clocks of both hosts", skew.Round(time.Millisecond))
	}
	from := h.Get(headerHost)
	expected := sign(key, "dial", from, h.Get(headerInstance), string(self), parts[0], parts[1])
	if from == "" || !hmac.Equal([]byte(expected), []byte(parts[2])) {
		return "", fmt.Errorf("proof does not match; give all nodes the same fleet key")
	}
	return prim.HostName(from), nil
}

// newAcceptProof returns the proof with which host self accepts a dial that was
// made with the given proof.
func newAcceptProof(key []byte, self prim.HostName, i prim.Instance, proof string) string {
	return sign(key, "accept", string(self), i.String(), proof)
}

// newDialProof returns the proof for a dial to host. It is empty if p is keyless.
func (p *Peers) newDialProof(host prim.HostName) string {
	if p.config.Keyless {
		return ""
	}
	return newDialProof(p.config.Key, p.config.Self, p.config.Instance, host, time.Now())
}

// verifyAcceptProof reports whether the headers prove that the accepting side
// holds the fleet key. It is always true if p is keyless.
func (p *Peers) verifyAcceptProof(h http.Header, host prim.HostName, i prim.Instance, proof string) bool {
	return p.config.Keyless || h.Get(headerProof) == newAcceptProof(p.config.Key, host, i, proof)
}
