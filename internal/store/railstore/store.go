package railstore

import (
	"context"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/store/railobjects"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

// Store combines the table service, the object store and the VM list.
type Store interface {
	railtable.Table
	railobjects.Objects
	// Members returns the VM list as seen from a region. The list is eventually consistent.
	Members(ctx context.Context, region string) ([]railmember.Member, error)
}
