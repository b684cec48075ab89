package railtree

import (
	"slices"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/routing/railhash"
)

const (
	// fanout is the number of children of each agent in a chunk's tree.
	fanout = 2
	// importerCandidates is the number of agents, in rendezvous order, among which the least loaded one imports a chunk.
	importerCandidates = 4
	ringSeed           = "ring"
)

// Plan is the distribution of one manifest's chunks among the agents of one region; it is immutable.
//
// Importers are chosen by rendezvous hashing and balanced by load, so that the loss of an agent moves few chunks other than
// its own. The other agents form a tree below the importer. The tree is rotated by one place for each chunk, so that uploads
// are even: each agent uploads about as many chunks as it downloads.
type Plan struct {
	ring      []railmember.Member
	ringIndex map[string]int
	importers [][]railmember.Member
}

// New returns the plan for the agents of a region, for chunks given by their digests. dependentRegions is the number of other
// regions that import from this one.
func New(members []railmember.Member, chunks []string, dependentRegions int) Plan {
	byName := railhash.Ranking[railmember.Member]{Name: func(m railmember.Member) string { return m.Name }}
	p := Plan{ring: byName.Top(ringSeed, members, len(members))}
	p.ringIndex = make(map[string]int, len(p.ring))
	for k, m := range p.ring {
		p.ringIndex[m.Name] = k
	}
	uploads := map[string]int{}
	for i, digest := range chunks {
		order := byName.Top(digest, members, len(members))
		p.importers = append(p.importers, leastLoadedFirst(order, uploads))
		if len(order) > 0 {
			p.addUploads(uploads, i, dependentRegions)
		}
	}
	return p
}

// leastLoadedFirst moves the candidate with the fewest planned uploads to the front of the order.
func leastLoadedFirst(order []railmember.Member, uploads map[string]int) []railmember.Member {
	least := 0
	for i := range order[:min(importerCandidates, len(order))] {
		if uploads[order[i].Name] < uploads[order[least].Name] {
			least = i
		}
	}
	if least == 0 {
		return order
	}
	m := order[least]
	return slices.Insert(slices.Delete(order, least, least+1), 0, m)
}

// addUploads adds the uploads of one chunk to the agents' planned uploads.
func (p Plan) addUploads(uploads map[string]int, chunk, dependentRegions int) {
	n := len(p.ring)
	for pos := 0; fanout*pos+1 < n; pos++ {
		uploads[p.memberAt(chunk, pos).Name] += min(fanout, n-fanout*pos-1)
	}
	uploads[p.importers[chunk][0].Name] += dependentRegions
}

// Empty reports whether the plan has no agents.
func (p Plan) Empty() bool {
	return len(p.ring) == 0
}

// Importers returns the agents in the order in which they import a chunk.
func (p Plan) Importers(chunk int) []railmember.Member {
	return p.importers[chunk]
}

// ImporterRank returns an agent's position in the order of a chunk's importers, or -1 when it is not in the plan.
func (p Plan) ImporterRank(chunk int, name string) int {
	return slices.IndexFunc(p.importers[chunk], func(m railmember.Member) bool { return m.Name == name })
}

// Sources returns the agents from which a chunk is requested: the agent's parent, its grandparent and so on up to the importer.
func (p Plan) Sources(chunk int, name string) []railmember.Member {
	var sources []railmember.Member
	for pos := p.position(chunk, name); pos > 0; {
		pos = (pos - 1) / fanout
		sources = append(sources, p.memberAt(chunk, pos))
	}
	return sources
}

// Level returns an agent's depth in a chunk's tree; the importer's is 0.
func (p Plan) Level(chunk int, name string) int {
	level := 0
	for pos := p.position(chunk, name); pos > 0; pos = (pos - 1) / fanout {
		level++
	}
	return level
}

// position returns an agent's position in a chunk's tree, numbered level by level. The importer is at 0, followed by the rest
// of the ring from the chunk's rotation on.
func (p Plan) position(chunk int, name string) int {
	n := len(p.ring)
	k, ok := p.ringIndex[name]
	if !ok || name == p.importers[chunk][0].Name {
		return 0
	}
	offset := (k - p.rotation(chunk) + n) % n
	if offset < p.importerOffset(chunk) {
		return offset + 1
	}
	return offset
}

// memberAt returns the agent at a position; it is the inverse of position.
func (p Plan) memberAt(chunk, position int) railmember.Member {
	if position == 0 {
		return p.importers[chunk][0]
	}
	offset := position - 1
	if offset >= p.importerOffset(chunk) {
		offset++
	}
	return p.ring[(offset+p.rotation(chunk))%len(p.ring)]
}

// rotation returns the index in the ring at which a chunk's tree begins.
func (p Plan) rotation(chunk int) int {
	return chunk % len(p.ring)
}

// importerOffset returns the distance on the ring from the start of a chunk's tree to its importer.
func (p Plan) importerOffset(chunk int) int {
	n := len(p.ring)
	return (p.ringIndex[p.importers[chunk][0].Name] - p.rotation(chunk) + n) % n
}
