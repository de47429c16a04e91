package config

import "flag"

// FromEnv sets the flags of a flag set from their environment variables; lookup
// is os.LookupEnv. It is called before the flags are parsed, so that a flag
// wins over its variable. An empty variable counts as absent.
func FromEnv(fs *flag.FlagSet, lookup func(string) (string, bool)) error {
	var err error
	fs.VisitAll(func(f *flag.Flag) {
		v, ok := lookup(Env(f.Name))
		if !ok || v == "" || err != nil {
			return
		}
		if e := fs.Set(f.Name, v); e != nil {
			err = Error.New("%s: %s is refused (%v); write a value as for -%s: %s", Env(f.Name), show(v), e, f.Name, f.Usage)
		}
	})
	return err
}
