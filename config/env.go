package config

import "flag"

// SetFromEnv sets the flags of a flag set from their environment variables; lookup
// is os.LookupEnv except in tests. It must be called before the flags are
// parsed, so that a flag overrides its variable. An empty variable counts as
// absent.
func SetFromEnv(fs *flag.FlagSet, lookup func(string) (string, bool)) error {
	var err error
	fs.VisitAll(func(f *flag.Flag) {
		v, ok := lookup(EnvVar(f.Name))
		if !ok || v == "" || err != nil {
			return
		}
		if e := fs.Set(f.Name, v); e != nil {
			err = Error.New("%s: %s is refused (%v); write a value as for -%s: %s", EnvVar(f.Name), formatValue(v), e, f.Name, f.Usage)
		}
	})
	return err
}
