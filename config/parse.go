package config

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// EnvPrefix is the prefix of the names of all environment variables.
const EnvPrefix = "PRIMROSETHREAD_"

// EnvVar returns the name of a flag's environment variable: the prefix, then
// the flag in upper case with underscores for dashes.
func EnvVar(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Setting describes one setting for help texts and documentation.
type Setting struct {
	Flag, Env, Default, Help string
	Required                 bool
}

// Settings returns the settings of the node command in the order of its help.
func Settings() []Setting {
	out := make([]Setting, len(settings))
	for i, s := range settings {
		out[i] = Setting{Flag: s.flag, Env: EnvVar(s.flag), Default: s.defaultValue, Help: s.help, Required: s.required()}
	}
	return out
}

func (s *setting) required() bool { return s.defaultValue == "" && !s.optional }

// ParseNode reads the settings of the node command from its arguments and, for
// each flag that is absent, from the environment; lookup is os.LookupEnv except
// in tests. An empty variable counts as absent. Help is written to out. The
// error is flag.ErrHelp or one of class Error: about the syntax of the
// arguments, or with a finding for each invalid setting.
func ParseNode(args []string, lookup func(string) (string, bool), out io.Writer) (*NodeSettings, error) {
	flagValues := make(map[string]string)
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for _, s := range settings {
		fs.Func(s.flag, s.help, func(text string) error {
			flagValues[s.flag] = text
			return nil
		})
	}
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		writeUsage(out)
		return nil, err
	}
	if err != nil {
		return nil, Error.New("%v; see primrosethread node -help", err)
	}
	if fs.NArg() > 0 {
		// The error omits the arguments, since one may be a misplaced secret.
		return nil, Error.New("%d arguments are not flags; write every setting as -flag value", fs.NArg())
	}
	n := new(NodeSettings)
	var f Findings
	for _, s := range settings {
		n.applySetting(&s, flagValues, lookup, &f)
	}
	n.requireFleetKey(&f)
	n.setPublishedAddress(&f)
	return n, f.err()
}

// applySetting sets one setting from its flag, its environment variable or its
// default, in this order of precedence.
func (n *NodeSettings) applySetting(s *setting, flagValues map[string]string, lookup func(string) (string, bool),
	f *Findings) {
	text, place := s.defaultValue, "-"+s.flag
	if v, ok := lookup(EnvVar(s.flag)); ok && v != "" {
		text, place = v, EnvVar(s.flag)
	}
	if v, ok := flagValues[s.flag]; ok {
		text, place = v, "-"+s.flag
	}
	if text == "" {
		if s.required() {
			f.add(description("nothing"), "is given", fmt.Sprintf("give -%s or %s: %s", s.flag, EnvVar(s.flag), s.help), "%s", place)
		}
		return
	}
	if s.flag == "fleet-key-file" && n.FleetKey.Bytes() != nil {
		f.add(text, "is given as well as a fleet key", "give only one of the two", "%s", place)
		return
	}
	if r := s.set(n, text); r != nil {
		var value any = text
		if s.secret {
			value = description(fmt.Sprintf("a text of %d bytes", len(text)))
		}
		f.add(value, r.problem, r.remedy, "%s", place)
	}
}

// requireFleetKey adds a finding if there is neither a fleet key nor already a
// finding about it.
func (n *NodeSettings) requireFleetKey(f *Findings) {
	for _, finding := range *f {
		if strings.Contains(strings.ToLower(strings.ReplaceAll(finding.Place, "_", "-")), "fleet-key") {
			return
		}
	}
	if n.FleetKey.Bytes() == nil {
		f.add(description("nothing"), "is given", "give -fleet-key-file or "+EnvVar("fleet-key"), "-fleet-key-file")
	}
}

// setPublishedAddress uses the listen address as the published address if none
// is given. An unspecified address will not do: no peer can connect to it, and
// the host list cannot contain it.
func (n *NodeSettings) setPublishedAddress(f *Findings) {
	if n.PublishedAddress.IsValid() || !n.Listen.IsValid() {
		return
	}
	if n.Listen.Addr().IsUnspecified() {
		f.add(n.Listen, "is not an address that the host list can contain", "give -published-address as well", "-listen")
		return
	}
	n.PublishedAddress = n.Listen
}

// writeUsage writes the help text of the node command.
func writeUsage(out io.Writer) {
	fmt.Fprintln(out, "usage: primrosethread node [flags]\n\nEach flag has an environment variable, which the flag overrides.")
	for _, s := range Settings() {
		note := "optional"
		if s.Required {
			note = "required"
		} else if s.Default != "" {
			note = "default " + s.Default
		}
		fmt.Fprintf(out, "\n  -%s, %s (%s)\n    \t%s\n", s.Flag, s.Env, note, s.Help)
	}
}
