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

// This file parses and validates the values of settings.

const (
	minKeyBytes          = 32 // output size of HMAC-SHA256; a shorter key weakens it
	maxKeyBytes          = 4096
	maxPlatformAddresses = 16
	maxSeeds             = 64
	maxCosts             = maxDataCentres * maxDataCentres / 2
	maxCost              = time.Second
)

// Secret holds bytes that must not be logged. It is formatted and encoded as a
// placeholder.
type Secret struct{ b []byte }

// NewSecret returns a Secret that holds b, without copying it.
func NewSecret(b []byte) Secret { return Secret{b} }

// Bytes returns the secret bytes.
func (s Secret) Bytes() []byte { return s.b }

// Format writes the placeholder for every verb.
func (s Secret) Format(w fmt.State, _ rune) { io.WriteString(w, s.String()) }

// String returns the placeholder.
func (s Secret) String() string { return "(secret)" }

// LogValue returns the placeholder. It implements slog.LogValuer.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// MarshalText returns the placeholder. It implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func setName[T ~string](dst *T, s string) *invalidValue {
	if !validName(s) {
		return &invalidValue{"is not a name", nameRemedy}
	}
	*dst = T(s)
	return nil
}

// setListen parses a listen address, which may be unspecified, such as
// 0.0.0.0:7070.
func setListen(dst *netip.AddrPort, s string) *invalidValue {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsMulticast() {
		return &invalidValue{"is not an address to listen on", "write an IP address and a port from 1 to 65535, such as 0.0.0.0:7070"}
	}
	*dst = a
	return nil
}

// setAddress parses an address that can be connected to.
func setAddress(dst *netip.AddrPort, s string) *invalidValue {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !validAddress(a) {
		return &invalidValue{"is not an address to connect to", addressRemedy}
	}
	*dst = a
	return nil
}

func setSeed(dst *Seed, s string) *invalidValue {
	name, address, _ := strings.Cut(s, "=")
	if !validName(name) {
		return &invalidValue{"does not begin with the name of a host", "write seeds as name=address"}
	}
	dst.Name = prim.HostName(name)
	return setAddress(&dst.Address, address)
}

func setCost(dst *Cost, s string) *invalidValue {
	pair, cost, _ := strings.Cut(s, "=")
	a, b, _ := strings.Cut(pair, "/")
	if !validName(a) || !validName(b) || a == b {
		return &invalidValue{"does not begin with two data centres", "write costs as a/b=3ms"}
	}
	dst.A, dst.B = prim.DataCentre(a), prim.DataCentre(b)
	return setDuration(&dst.OneWay, cost, 0, maxCost)
}

// setList parses a list of values separated by commas, each of them with set.
func setList[T any](dst *[]T, s string, minEntries, maxEntries int, set func(*T, string) *invalidValue) *invalidValue {
	parts := strings.FieldsFunc(s, func(r rune) bool { return r == ',' })
	if len(parts) < minEntries || len(parts) > maxEntries {
		return &invalidValue{fmt.Sprintf("has %d entries", len(parts)), fmt.Sprintf("write %d to %d, separated by commas", minEntries, maxEntries)}
	}
	list := make([]T, len(parts))
	for i, p := range parts {
		if r := set(&list[i], strings.TrimSpace(p)); r != nil {
			r.problem = fmt.Sprintf("has an entry %s that %s", formatValue(p), r.problem)
			return r
		}
	}
	*dst = list
	return nil
}

func setChoice(dst *string, s string, choices []string) *invalidValue {
	if !slices.Contains(choices, s) {
		return &invalidValue{"is not one of the known values", "write one of " + strings.Join(choices, ", ")}
	}
	*dst = s
	return nil
}

func setLevel(dst *slog.Level, s string) *invalidValue {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
	l, ok := levels[s]
	if !ok {
		return &invalidValue{"is not a level", "write one of debug, info, warn, error"}
	}
	*dst = l
	return nil
}

func setDuration(dst *time.Duration, s string, minimum, maximum time.Duration) *invalidValue {
	d, err := time.ParseDuration(s)
	if err != nil || d < minimum || d > maximum {
		return &invalidValue{"is not a duration in range", fmt.Sprintf("write %s to %s, with a unit such as ms or s", minimum, maximum)}
	}
	*dst = d
	return nil
}

func setInt(dst *int, s string, minimum, maximum int) *invalidValue {
	n, err := strconv.Atoi(s)
	if err != nil || n < minimum || n > maximum {
		return &invalidValue{"is not a number in range", fmt.Sprintf("write a whole number from %d to %d", minimum, maximum)}
	}
	*dst = n
	return nil
}

func setKey(dst *Secret, s string) *invalidValue {
	if len(s) < minKeyBytes || len(s) > maxKeyBytes {
		return &invalidValue{"is not a fleet key", fmt.Sprintf("use %d to %d random bytes, the same at every node", minKeyBytes, maxKeyBytes)}
	}
	*dst = NewSecret([]byte(s))
	return nil
}

func setKeyFile(dst *Secret, path string) *invalidValue {
	const remedy = "name a file that holds the fleet key and that this process may read"
	f, err := os.Open(path)
	if err != nil {
		return &invalidValue{"cannot be opened", remedy}
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, maxKeyBytes+3))
	if err != nil {
		return &invalidValue{"cannot be read", remedy}
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(content), "\n"), "\r")
	if r := setKey(dst, key); r != nil {
		r.problem = fmt.Sprintf("holds a key of %d bytes", len(key))
		return r
	}
	return nil
}
