package railsiteprocess

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railaddress"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
)

// TableEntries is the table that holds the internal address of each entry, by the entry's name.
const TableEntries = "entries"

// entryRow is the value of a row in the table of entries.
type entryRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Link is the rate of the entry's network link in bytes per second, or 0 if it is unknown.
	Link int `json:"link"`
	// Config is the version of the configuration that was in force when the entry wrote the row, or 0 for none.
	Config int64 `json:"config"`
}

// Entries returns the entries from the rows of the table of entries, and reports rows that can't be decoded.
func (p *Process) Entries(rows []railreplica.Row) []railmember.Member {
	var members []railmember.Member
	var faults []railreplica.Fault
	for _, row := range rows {
		entry, err := parseEntryRow(row.Value)
		if err != nil {
			faults = append(faults, railreplica.Fault{Table: TableEntries, Key: row.Key, Version: row.Version, Err: err})
			continue
		}
		members = append(members, railmember.Member{
			Name: row.Key, Role: railmember.RoleEntry, Address: entry.Address, Zone: entry.Zone, Region: p.Site.ZoneRegions[entry.Zone], Link: entry.Link,
		})
	}
	p.rowFaults[TableEntries].Report(faults)
	return members
}

// NewestConfig returns the newest configuration that the rows of the table of entries mention, or 0 if there is none.
func NewestConfig(rows []railreplica.Row) int64 {
	newest := int64(0)
	for _, row := range rows {
		if entry, err := parseEntryRow(row.Value); err == nil {
			newest = max(newest, entry.Config)
		}
	}
	return newest
}

// EntryRow returns the encoded row of this process in the table of entries.
func (p *Process) EntryRow() ([]byte, error) {
	catalog, _ := p.Config.Get()
	row, err := json.Marshal(entryRow{
		Address: p.Site.Process.InternalAddress, Zone: p.Site.Process.Zone, Link: p.Site.Process.LinkBytesPerSecond(), Config: catalog.Version,
	})
	return row, errors.Wrap(err, "encode the entry's row")
}

func parseEntryRow(value []byte) (entryRow, error) {
	var e entryRow
	if err := json.Unmarshal(value, &e); err != nil {
		return e, err
	}
	if e.Link < 0 {
		return e, errors.Newf("field link is %d", e.Link)
	}
	address, err := railaddress.Parse(e.Address)
	e.Address = address
	return e, errors.Wrap(err, "parse the field address")
}
