package config_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosethread/primrosethread/config"
)

var fleetKey = strings.Repeat("k", 32)

// lookupWith returns a lookup function for an environment in which all required
// settings are given. The pairs of a variable and its value override them.
func lookupWith(pairs ...string) func(string) (string, bool) {
	m := map[string]string{
		"PRIMROSETHREAD_NAME": "h1", "PRIMROSETHREAD_DATA_CENTRE": "hobart",
		"PRIMROSETHREAD_LISTEN": "0.0.0.0:7070", "PRIMROSETHREAD_ADMIN_LISTEN": "127.0.0.1:7071",
		"PRIMROSETHREAD_PUBLISHED_ADDRESS": "10.0.0.9:7070",
		"PRIMROSETHREAD_SERVER":            "127.0.0.1:8080", "PRIMROSETHREAD_PLATFORM": "10.0.0.1:80,10.0.0.2:80",
		"PRIMROSETHREAD_FLEET_KEY": fleetKey,
	}
	for i := 0; i < len(pairs); i += 2 {
		m[pairs[i]] = pairs[i+1]
	}
	return func(name string) (string, bool) {
		v, ok := m[name]
		return v, ok
	}
}

// Guards against a variable that overrides its flag, and against defaults that
// do not pass validation.
func TestFlagOverridesEnvironment(t *testing.T) {
	is := is.New(t)
	n, err := config.ParseNode([]string{"-name", "h2", "-costs", "hobart/perth=3ms, perth/darwin=9ms", "-seeds", "h3=10.0.0.3:7070"},
		lookupWith("PRIMROSETHREAD_POLICY", "Random"), io.Discard)
	is.NoErr(err)
	is.Equal(string(n.Name), "h2")
	is.Equal(n.Policy, "Random")
	is.Equal(len(n.Platform), 2)
	is.Equal(n.Seeds[0].Address.Port(), uint16(7070))
	is.Equal(n.Cost("perth", "hobart"), 3*time.Millisecond)
	is.Equal(n.Cost("perth", "perth"), time.Duration(0))
	is.Equal(n.Cost("hobart", "darwin"), 5*time.Millisecond)
	is.Equal(n.LogLevel, slog.LevelInfo)
	is.Equal(string(n.FleetKey.Bytes()), fleetKey)
}

// Guards against a setting that is accepted with an invalid value, and against
// an error without place, value and remedy.
func TestInvalidSettings(t *testing.T) {
	short := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(short, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ flag, value, want string }{
		{"name", "a b", `-name: "a b" is not a name`},
		{"listen", "localhost:1", `-listen: "localhost:1" is not an address to listen on`},
		{"server", "0.0.0.0:80", `-server: "0.0.0.0:80" is not an address to connect to`},
		{"platform", ",", `-platform: "," has 0 entries; write 1 to 16`},
		{"platform", "10.0.0.1:80,x", `-platform: "10.0.0.1:80,x" has an entry "x" that is not an address`},
		{"seeds", "10.0.0.1:80", `write seeds as name=address`},
		{"costs", "a/a=1ms", `write costs as a/b=3ms`},
		{"costs", "a/b=1ms,b/a=2ms", `gives the cost of b/a twice`},
		{"costs", "a/b=2m", `write 0s to 1s, with a unit`},
		{"policy", "best", `-policy: "best" is not one of the known values; write one of Pool, LeastOfTwo, RoundRobin, Random`},
		{"log-level", "loud", `is not a level`},
		{"drain-timeout", "0", `-drain-timeout: "0" is not a duration in range; write 1s to 10m0s`},
		{"max-calls", "0", `-max-calls: "0" is not a number in range; write a whole number from 1 to 1000000`},
		{"fleet-key", "short-secret", `-fleet-key: a text of 12 bytes is not a fleet key; use 32 to 4096 random bytes`},
		{"fleet-key-file", short, `is given as well as a fleet key`},
	} {
		t.Run(c.flag+c.value, func(t *testing.T) {
			is := is.New(t)
			_, err := config.ParseNode([]string{"-" + c.flag, c.value}, lookupWith(), io.Discard)
			is.True(config.Error.Has(err))
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got  %v\nwant %s", err, c.want)
			}
			is.True(!strings.Contains(err.Error(), "short-secret"))
		})
	}
	is := is.New(t)
	_, err := config.ParseNode(nil, lookupWith("PRIMROSETHREAD_FLEET_KEY", "", "PRIMROSETHREAD_FLEET_KEY_FILE", short), io.Discard)
	is.True(strings.Contains(err.Error(), "PRIMROSETHREAD_FLEET_KEY_FILE"))
	is.True(strings.Contains(err.Error(), "holds a key of 5 bytes"))
	_, err = config.ParseNode([]string{"stray"}, lookupWith(), io.Discard)
	is.True(err != nil)
	_, err = config.ParseNode([]string{"-unknown", "1"}, lookupWith(), io.Discard)
	is.True(strings.Contains(err.Error(), "-unknown"))
	_, err = config.ParseNode(nil, func(string) (string, bool) { return "", false }, io.Discard)
	for _, name := range []string{"-name", "-data-centre", "-listen", "-admin-listen", "-server", "-platform", "-fleet-key-file"} {
		is.True(strings.Contains(err.Error(), name+": nothing is given; give "))
	}
}

// Guards against a node that never uses its allowance slot because its own
// address, as it sees it, differs from that in the host list.
func TestPublishedAddress(t *testing.T) {
	is := is.New(t)
	n, err := config.ParseNode(nil, lookupWith(), io.Discard)
	is.NoErr(err)
	is.Equal(n.PublishedAddress.String(), "10.0.0.9:7070")
	n, err = config.ParseNode([]string{"-listen", "10.0.0.8:7070"}, lookupWith("PRIMROSETHREAD_PUBLISHED_ADDRESS", ""), io.Discard)
	is.NoErr(err)
	is.Equal(n.PublishedAddress.String(), "10.0.0.8:7070")
	_, err = config.ParseNode(nil, lookupWith("PRIMROSETHREAD_PUBLISHED_ADDRESS", ""), io.Discard)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "give -published-address as well"))
}

// Guards against nodes with different keys because the newline that an editor
// appended to one key file was read as part of the key.
func TestKeyFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(path, []byte(fleetKey+"\n"), 0o600))
	n, err := config.ParseNode([]string{"-fleet-key-file", path}, lookupWith("PRIMROSETHREAD_FLEET_KEY", ""), io.Discard)
	is.NoErr(err)
	is.Equal(string(n.FleetKey.Bytes()), fleetKey)
}

// Guards against the fleet key appearing in logs, errors or status responses.
func TestSecretIsNotFormatted(t *testing.T) {
	is := is.New(t)
	n, err := config.ParseNode(nil, lookupWith(), io.Discard)
	is.NoErr(err)
	var b bytes.Buffer
	slog.New(slog.NewJSONHandler(&b, nil)).Info("start", "settings", n, "key", n.FleetKey)
	slog.New(slog.NewTextHandler(&b, nil)).Info("start", "settings", n, "key", n.FleetKey)
	fmt.Fprintf(&b, "%v %+v %#v %s %x %q %d", n, *n, *n, n.FleetKey, n.FleetKey, n.FleetKey, n.FleetKey)
	is.NoErr(json.NewEncoder(&b).Encode(n))
	for _, s := range []string{fleetKey, "6b6b6b", "107 107"} {
		is.True(!strings.Contains(b.String(), s))
	}
}

// Guards against a flag that is missing in the help text.
func TestHelp(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	_, err := config.ParseNode([]string{"-help"}, lookupWith(), &b)
	is.True(errors.Is(err, flag.ErrHelp))
	for _, s := range config.Settings() {
		is.True(strings.Contains(b.String(), "-"+s.Flag+", "+s.Env))
	}
}

// ExampleEnvVar shows the name of a flag's environment variable.
func ExampleEnvVar() {
	fmt.Println(config.EnvVar("admin-listen"))
	// Output:
	// PRIMROSETHREAD_ADMIN_LISTEN
}
