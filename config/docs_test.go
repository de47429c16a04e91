package config_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/config"
)

// Guards against a flag, a default or a document field that is missing in
// docs/configuration.md.
func TestConfigurationPageIsComplete(t *testing.T) {
	raw, err := os.ReadFile("../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(raw)
	for _, s := range config.Settings() {
		row := "| `-" + s.Flag + "` | `" + s.Env + "` | "
		if s.Default != "" {
			row += "`" + s.Default + "` |"
		}
		if !strings.Contains(page, row) {
			t.Errorf("docs/configuration.md lacks the row %s", row)
		}
	}
	for name, doc := range map[string]any{prim.NamePlans: prim.Plans{}, prim.NameAllowances: prim.Allowances{},
		prim.NameDataCentres: prim.DataCentres{}, prim.NameHosts: prim.Hosts{}} {
		_, section, _ := strings.Cut(page, "\n### "+name+"\n")
		section, _, _ = strings.Cut(section, "\n### ")
		for _, f := range documentFields("", reflect.TypeOf(doc)) {
			if !strings.Contains(section, "| `"+f+"` | ") {
				t.Errorf("docs/configuration.md lacks the field %s of %s", f, name)
			}
		}
	}
}

// documentFields lists the fields of a document in the notation of the page, for
// example Customers[].Name.
func documentFields(prefix string, t reflect.Type) (out []string) {
	for f := range t.Fields() {
		out = append(out, prefix+f.Name)
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			out = append(out, documentFields(prefix+f.Name+"[].", f.Type.Elem())...)
		}
	}
	return out
}

// Guards against a refusal reason that is not explained to operators.
func TestReasonsAreExplained(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for r := prim.ReasonBusy; r <= prim.ReasonStale; r++ {
		if !strings.Contains(string(page), "`"+r.String()+"`") {
			t.Errorf("docs/OPERATIONS.md does not explain %s", r)
		}
	}
}
