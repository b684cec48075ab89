package railspec_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railcustomer"
	"github.com/fulmarrail/fulmarrail/internal/config/railobjective"
	"github.com/fulmarrail/fulmarrail/internal/config/railorigin"
	"github.com/fulmarrail/fulmarrail/internal/config/railschema"
	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/config/railsettings"
	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
	"github.com/fulmarrail/fulmarrail/internal/config/railzone"
)

func TestDocumentedTablesMatchSchemas(t *testing.T) {
	for _, test := range []struct {
		page, title, table string
	}{
		{"CONFIGURATION.md", "## [service NAME]", railschema.Schema[railservice.Service]{}.Markdown()},
		{"CONFIGURATION.md", "## [zone NAME]", railschema.Schema[railzone.Zone]{}.Markdown()},
		{"CONFIGURATION.md", "## [customer NAME]", railschema.Schema[railcustomer.Customer]{}.Markdown()},
		{"CONFIGURATION.md", "## [objective NAME]", railschema.Schema[railobjective.Objective]{}.Markdown()},
		{"CONFIGURATION.md", "## [origin NAME]", railschema.Schema[railorigin.Origin]{}.Markdown()},
		{"SETTINGS.md", "## [process]", railschema.Schema[railsettings.Settings]{}.Markdown()},
		{"SETTINGS.md", "## [process] of a gateway or a carrier", railschema.Schema[railsite.Process]{}.Markdown()},
		{"SETTINGS.md", "## [bounds]", railschema.Schema[railsite.Bounds]{}.Markdown()},
	} {
		t.Run(test.title, func(t *testing.T) {
			c := qt.New(t)
			page, err := os.ReadFile("../../../docs/" + test.page)
			c.Assert(err, qt.IsNil)
			c.Check(string(page), qt.Contains, test.title+"\n\n"+test.table)
		})
	}
}
