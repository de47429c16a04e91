package config

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// EnvPrefix begins the names of all environment variables.
const EnvPrefix = "PRIMROSETHREAD_"

// Env returns the environment variable of a flag: the prefix, then the flag in
// upper case with underscores for dashes.
func Env(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Setting describes one row of the settings table for help and documentation.
type Setting struct {
	Flag, Env, Default, Help string
	Required                 bool
}

// Settings returns the settings of the node command in the order of its help.
func Settings() []Setting {
	out := make([]Setting, len(settings))
	for i, s := range settings {
		out[i] = Setting{Flag: s.flag, Env: Env(s.flag), Default: s.def, Help: s.help, Required: s.required()}
	}
	return out
}

func (s *setting) required() bool { return s.def == "" && !s.optional }

// ParseNode reads the settings of the node command from its arguments and, for
// each flag that is absent, from the environment; lookup is os.LookupEnv. An
// empty variable counts as absent. Help goes to out. The error is
// flag.ErrHelp, an error of flag parsing, or of the package's class with one
// finding for each refused setting.
func ParseNode(args []string, lookup func(string) (string, bool), out io.Writer) (*Node, error) {
	given := make(map[string]string)
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for _, s := range settings {
		fs.Func(s.flag, s.help, func(text string) error {
			given[s.flag] = text
			return nil
		})
	}
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		usage(out)
		return nil, err
	}
	if err != nil {
		return nil, Error.New("%v; see primrosethread node -help", err)
	}
	if fs.NArg() > 0 {
		// The argument is not repeated, since it may be a misplaced secret.
		return nil, Error.New("%d arguments are not flags; give every setting as -flag value", fs.NArg())
	}
	n := new(Node)
	var f Findings
	for _, s := range settings {
		n.apply(&s, given, lookup, &f)
	}
	n.checkKey(&f)
	n.checkPublished(&f)
	return n, f.err()
}

// apply sets one setting from its flag, its variable or its default.
func (n *Node) apply(s *setting, given map[string]string, lookup func(string) (string, bool), f *Findings) {
	text, place := s.def, "-"+s.flag
	if v, ok := lookup(Env(s.flag)); ok && v != "" {
		text, place = v, Env(s.flag)
	}
	if v, ok := given[s.flag]; ok {
		text, place = v, "-"+s.flag
	}
	if text == "" {
		if s.required() {
			f.add(unshown("nothing"), "is given", fmt.Sprintf("give -%s or %s: %s", s.flag, Env(s.flag), s.help), "%s", place)
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
			value = unshown(fmt.Sprintf("a text of %d bytes", len(text)))
		}
		f.add(value, r.problem, r.remedy, "%s", place)
	}
}

// checkKey adds a finding if there is neither a fleet key nor a finding about it.
func (n *Node) checkKey(f *Findings) {
	for _, one := range *f {
		if strings.Contains(strings.ToLower(strings.ReplaceAll(one.Place, "_", "-")), "fleet-key") {
			return
		}
	}
	if n.FleetKey.Bytes() == nil {
		f.add(unshown("nothing"), "is given", "give -fleet-key-file or "+Env("fleet-key"), "-fleet-key-file")
	}
}

// checkPublished takes over the address that is listened on as the published one,
// unless another is given. Nobody reaches an unspecified address, and the host
// list cannot hold it.
func (n *Node) checkPublished(f *Findings) {
	if n.PublishedAddress.IsValid() || !n.Listen.IsValid() {
		return
	}
	if n.Listen.Addr().IsUnspecified() {
		f.add(n.Listen, "does not tell the address in the host list", "give -published-address as well", "-listen")
		return
	}
	n.PublishedAddress = n.Listen
}

// usage writes the help text of the node command.
func usage(out io.Writer) {
	fmt.Fprintln(out, "usage: primrosethread node [flags]\n\nEach flag has an environment variable; the flag wins.")
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
