package railfetcher

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// fromOutside takes a chunk from the region before this one in the chain of regions, which begins with the origin's; when that
// has failed, from the origin's region. The origin itself is for the agents of its region, or for all where it has none.
func (j *job) fromOutside(ctx context.Context, h *hunt) ([]byte, error) {
	f := j.fetcher
	if chain := j.chain(); chain[0] != f.Self.Region && !j.plan(chain[0]).Empty() {
		importers := f.willing(j.plan(j.regionBefore(chain, h)).Importers(h.chunk))
		if len(importers) == 0 {
			h.outside++
			return nil, errors.New("no agent of the other region is willing")
		}
		data, err := j.ask(ctx, importers[0], h, longWait*f.takeover(), 0)
		if err != nil {
			h.outside++
		}
		return data, err
	}
	done, err := f.download(ctx, true)
	if err != nil {
		return nil, err
	}
	data, err := f.Origin(ctx, h.digest)
	done(len(data))
	if err != nil {
		return nil, errors.Wrap(err, "draw from the origin")
	}
	f.Log.Debug("chunk came from the origin", "chunk", h.chunk, "since", time.Since(h.began))
	return data, j.verify(h, data, railmember.Member{Name: "the origin"})
}

// regionBefore returns the region from which this one draws: the origin's, or the one before it where regions draw in a chain
// and that has not failed.
func (j *job) regionBefore(chain []string, h *hunt) string {
	if !j.fetcher.Chain {
		return chain[0]
	}
	before := chain[slices.Index(chain, j.fetcher.Self.Region)-1]
	if h.outside > 0 || j.plan(before).Empty() {
		return chain[0]
	}
	return before
}

// chain returns the regions in the order in which each draws from the one before: that of the origin first.
func (j *job) chain() []string {
	origin := j.fetcher.OriginRegion()
	chain := []string{}
	for _, m := range j.members {
		if m.Region != origin {
			chain = append(chain, m.Region)
		}
	}
	if own := j.fetcher.Self.Region; own != origin {
		chain = append(chain, own)
	}
	slices.Sort(chain)
	return slices.Insert(slices.Compact(chain), 0, origin)
}

// drawing returns the number of regions that draw from the given one.
func (j *job) drawing(region string) int {
	chain := j.chain()
	place := slices.Index(chain, region)
	switch {
	case j.fetcher.Chain && place >= 0 && place < len(chain)-1:
		return 1
	case !j.fetcher.Chain && place == 0:
		return len(chain) - 1
	}
	return 0
}
