package config

import (
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file parses and checks single values of settings.

const (
	minKey      = 32 // the output size of HMAC-SHA256, below which a key weakens it
	maxKey      = 4096
	maxPlatform = 16
	maxSeeds    = 64
	maxCosts    = maxCentres * maxCentres / 2
	maxCost     = time.Second
)

// Secret holds bytes that must not be logged. All its formatted forms are the
// same placeholder.
type Secret struct{ b []byte }

// NewSecret returns a secret that holds b.
func NewSecret(b []byte) Secret { return Secret{b} }

// Bytes returns the secret itself.
func (s Secret) Bytes() []byte { return s.b }

// Format writes the placeholder for every verb.
func (s Secret) Format(w fmt.State, _ rune) { io.WriteString(w, s.String()) }

// String returns the placeholder.
func (s Secret) String() string { return "(secret)" }

// LogValue returns the placeholder to slog.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// MarshalText returns the placeholder to encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func setName[T ~string](into *T, s string) *refusal {
	if !validName(s) {
		return &refusal{"is not a name", nameRemedy}
	}
	*into = T(s)
	return nil
}

// setListen parses an address to listen on, which may be unspecified.
func setListen(into *netip.AddrPort, s string) *refusal {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsMulticast() {
		return &refusal{"is not an address to listen on", "write an IP address and a port from 1 to 65535, such as 0.0.0.0:7070"}
	}
	*into = a
	return nil
}

// setAddress parses an address to connect to.
func setAddress(into *netip.AddrPort, s string) *refusal {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !validAddress(a) {
		return &refusal{"is not an address to connect to", addressRemedy}
	}
	*into = a
	return nil
}

func setSeed(into *Seed, s string) *refusal {
	name, address, _ := strings.Cut(s, "=")
	if !validName(name) {
		return &refusal{"does not begin with the name of a host", "write seeds as name=address"}
	}
	into.Name = prim.HostName(name)
	return setAddress(&into.Address, address)
}

func setCost(into *Cost, s string) *refusal {
	pair, cost, _ := strings.Cut(s, "=")
	a, b, _ := strings.Cut(pair, "/")
	if !validName(a) || !validName(b) || a == b {
		return &refusal{"does not begin with two data centres", "write costs as a/b=3ms"}
	}
	into.A, into.B = prim.DataCentre(a), prim.DataCentre(b)
	return setDuration(&into.OneWay, cost, 0, maxCost)
}

// setList parses values that are separated by commas.
func setList[T any](into *[]T, s string, least, most int, set func(*T, string) *refusal) *refusal {
	parts := strings.FieldsFunc(s, func(r rune) bool { return r == ',' })
	if len(parts) < least || len(parts) > most {
		return &refusal{fmt.Sprintf("has %d entries", len(parts)), fmt.Sprintf("write %d to %d, separated by commas", least, most)}
	}
	list := make([]T, len(parts))
	for i, p := range parts {
		if r := set(&list[i], strings.TrimSpace(p)); r != nil {
			r.problem = fmt.Sprintf("has an entry %s that %s", show(p), r.problem)
			return r
		}
	}
	*into = list
	return nil
}

func setWord(into *string, s string, words []string) *refusal {
	if !slices.Contains(words, s) {
		return &refusal{"is not known", "write one of " + strings.Join(words, ", ")}
	}
	*into = s
	return nil
}

func setLevel(into *slog.Level, s string) *refusal {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
	l, ok := levels[s]
	if !ok {
		return &refusal{"is not a level", "write one of debug, info, warn, error"}
	}
	*into = l
	return nil
}

func setDuration(into *time.Duration, s string, least, most time.Duration) *refusal {
	d, err := time.ParseDuration(s)
	if err != nil || d < least || d > most {
		return &refusal{"is not a duration in bounds", fmt.Sprintf("write %s to %s, with a unit such as ms or s", least, most)}
	}
	*into = d
	return nil
}

func setInt(into *int, s string, least, most int) *refusal {
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		return &refusal{"is not a number in bounds", fmt.Sprintf("write a whole number from %d to %d", least, most)}
	}
	*into = n
	return nil
}

func setKey(into *Secret, s string) *refusal {
	if len(s) < minKey || len(s) > maxKey {
		return &refusal{"is not a fleet key", fmt.Sprintf("use %d to %d random bytes, the same at every node", minKey, maxKey)}
	}
	*into = NewSecret([]byte(s))
	return nil
}

func setKeyFile(into *Secret, path string) *refusal {
	const remedy = "name a file that holds the fleet key and that this process may read"
	f, err := os.Open(path)
	if err != nil {
		return &refusal{"cannot be opened", remedy}
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxKey+3))
	if err != nil {
		return &refusal{"cannot be read", remedy}
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(b), "\n"), "\r")
	if r := setKey(into, key); r != nil {
		r.problem = fmt.Sprintf("holds a key of %d bytes", len(key))
		return r
	}
	return nil
}
