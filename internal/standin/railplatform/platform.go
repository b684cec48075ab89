package railplatform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/standin/railtables"
	"github.com/fulmarrail/fulmarrail/internal/store/railrows"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/store/railweights"
	"github.com/fulmarrail/fulmarrail/platform"
)

// Platform is an in-memory platform; its fields are set before its first use and its knobs change it later.
type Platform struct {
	// WriteRate and ReadRate bound the table service in calls a second; 0 means no bound.
	WriteRate, ReadRate float64
	// OriginRate bounds the origin's link in bytes a second; 0 means no bound.
	OriginRate float64
	// ListLag is the time after which a change of the VM list can be seen.
	ListLag time.Duration
	// View returns a VM as the list shows it in a region; nil shows all alike.
	RegionView func(region string, m railmember.Member) railmember.Member
	// Seed fixes the draws of lost answers.
	Seed uint64

	tables railtables.Tables

	mu      sync.Mutex
	random  *rand.Rand
	objects map[string][]byte
	// unseen holds the changes of the VM list that can't be seen yet, the oldest first.
	unseen   []listing
	down     bool
	unlisted bool
	slow     time.Duration
	lossy    float64
	writes   *rate.Limiter
	reads    *rate.Limiter
	origin   *rate.Limiter

	originBytes, writeCount, readCount int64
}

// listing is a change of the VM list.
type listing struct {
	at     time.Time
	change railtable.Change
}

// SetDown begins or ends an outage of the table service, the object store and the VM list.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.unlisted = down, down
}

// SetStoreDown begins or ends an outage of the table service and the object store only.
func (p *Platform) SetStoreDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay delays each call by the given time.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = delay
}

// SetResponseLoss loses the answers of the given share of writes after they have taken effect.
func (p *Platform) SetResponseLoss(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy = share
}

// Get returns a row's value and version.
func (p *Platform) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := p.enter(ctx, false); err != nil {
		return nil, 0, err
	}
	row := p.tables.Row(platform.TableState, key)
	return row.Value, row.Version, nil
}

// Put writes a row whose version is the given one.
func (p *Platform) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	return p.Change(ctx, railtable.Put(platform.TableState, key, value).WithVersion(version))
}

// Table returns all rows of a table.
func (p *Platform) Table(ctx context.Context, table string) (railrows.Page, error) {
	region, list := strings.CutPrefix(table, platform.TableMembers)
	if !list {
		err := p.enter(ctx, false)
		return p.tables.Table(table), err
	}
	if err := p.enterList(ctx); err != nil {
		return railrows.Page{}, err
	}
	return p.view(region, p.tables.Table(platform.TableMembers))
}

// Changes returns the rows of a table that changed after a version.
func (p *Platform) Changes(ctx context.Context, table string, after int64, wait time.Duration) (railrows.Page, error) {
	region, list := strings.CutPrefix(table, platform.TableMembers)
	if !list {
		if err := p.enter(ctx, false); err != nil {
			return railrows.Page{}, err
		}
		return p.tables.Changes(ctx, table, after, wait)
	}
	if err := p.enterList(ctx); err != nil {
		return railrows.Page{}, err
	}
	page, err := p.tables.Changes(ctx, platform.TableMembers, after, wait)
	if err != nil {
		return page, err
	}
	return p.view(region, page)
}

// Change makes a change of a row.
func (p *Platform) Change(ctx context.Context, c railtable.Change) (int64, error) {
	if err := p.enter(ctx, true); err != nil {
		return 0, err
	}
	version, err := p.tables.Change(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.lossy > 0 && p.random.Float64() < p.lossy {
		return 0, railtable.ErrUnknown
	}
	return version, err
}

// Read returns an object's content; chunks come at the pace of the origin's link.
func (p *Platform) Read(ctx context.Context, name string) ([]byte, error) {
	if !railweights.IsWeights(name) { // The weights lie at an origin that does not share the store's outages.
		if err := p.enter(ctx, false); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	content, ok := p.objects[name]
	limiter := p.origin
	if railweights.IsChunk(name) {
		p.originBytes += int64(len(content))
	}
	p.mu.Unlock()
	if !ok {
		return nil, errors.Newf("there is no object %s", name)
	}
	if limiter != nil && railweights.IsChunk(name) {
		return content, errors.Wrap(limiter.WaitN(ctx, len(content)), "wait for the origin's link")
	}
	return content, nil
}

// Write stores an object's content.
func (p *Platform) Write(ctx context.Context, name string, content []byte) error {
	if err := p.enter(ctx, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = slices.Clone(content)
	return nil
}

// Members returns the VM list as it was before the lag.
func (p *Platform) Members(ctx context.Context, region string) ([]railmember.Member, error) {
	page, err := p.Table(ctx, platform.TableMembers+region)
	if err != nil {
		return nil, err
	}
	members := make([]railmember.Member, len(page.Rows))
	for i, row := range page.Rows {
		if err := json.Unmarshal(row.Value, &members[i]); err != nil {
			return nil, errors.Wrapf(err, "decode the VM %s", row.Key)
		}
	}
	return members, nil
}

// SetMember adds or changes one VM of the list.
func (p *Platform) SetMember(m railmember.Member) {
	row, err := json.Marshal(m)
	if err != nil {
		panic(err) // A member consists of texts.
	}
	p.list(railtable.Put(platform.TableMembers, m.Name, row))
}

// RemoveMember takes one VM from the list.
func (p *Platform) RemoveMember(name string) {
	p.list(railtable.Remove(platform.TableMembers, name))
}

// AddWeights puts a version of weights into the origin, points its name to it and returns its manifest.
func (p *Platform) AddWeights(version string, weights []byte, chunkSize int64) railmanifest.Manifest {
	m := railmanifest.New(version, weights, chunkSize)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	for i, digest := range m.Chunks {
		start := int64(i) * chunkSize
		p.objects[railweights.ChunkObject(digest)] = weights[start : start+m.ChunkLength(i)]
	}
	p.objects[railweights.ManifestObject(m.Digest())] = m.Encode()
	p.objects[railweights.VersionObject(version)] = []byte(m.Digest())
	return m
}

// OriginBytes returns the bytes drawn from the origin.
func (p *Platform) OriginBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.originBytes
}

// CallCounts returns the table service's and object store's writes and reads so far.
func (p *Platform) CallCounts() (writes, reads int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writeCount, p.readCount
}

func (p *Platform) init() {
	if p.objects != nil {
		return
	}
	p.random = rand.New(rand.NewPCG(p.Seed, p.Seed))
	p.objects = map[string][]byte{}
	if p.WriteRate > 0 {
		p.writes = rate.NewLimiter(rate.Limit(p.WriteRate), int(p.WriteRate))
	}
	if p.ReadRate > 0 {
		p.reads = rate.NewLimiter(rate.Limit(p.ReadRate), int(p.ReadRate))
	}
	if p.OriginRate > 0 {
		p.origin = rate.NewLimiter(rate.Limit(p.OriginRate), maxBurst)
	}
}

const maxBurst = 4 << 20

func (p *Platform) enter(ctx context.Context, write bool) error {
	p.mu.Lock()
	p.init()
	down, delay, limiter := p.down, p.slow, p.reads
	if write {
		limiter = p.writes
		p.writeCount++
	} else {
		p.readCount++
	}
	p.mu.Unlock()
	if !railtimer.Sleep(ctx, delay) {
		return errors.Mark(ctx.Err(), railtable.ErrRefused)
	}
	if down || (limiter != nil && !limiter.Allow()) {
		return railtable.ErrRefused
	}
	return nil
}

// enterList waits as a call of the VM list does, and makes the changes that can be seen now.
func (p *Platform) enterList(ctx context.Context) error {
	p.mu.Lock()
	unlisted, delay := p.unlisted, p.slow
	p.mu.Unlock()
	if !railtimer.Sleep(ctx, delay) || unlisted {
		return railtable.ErrRefused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := time.Now().Add(-p.ListLag)
	for len(p.unseen) > 0 && !p.unseen[0].at.After(visible) {
		if _, err := p.tables.Change(p.unseen[0].change); err != nil {
			return err
		}
		p.unseen = p.unseen[1:]
	}
	return nil
}

func (p *Platform) list(c railtable.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unseen = append(p.unseen, listing{at: time.Now(), change: c})
}

// view returns rows of the VM list as a region sees them.
func (p *Platform) view(region string, page railrows.Page) (railrows.Page, error) {
	for i, row := range page.Rows {
		if p.RegionView == nil || row.Removed {
			continue
		}
		var m railmember.Member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return page, errors.Wrapf(err, "decode the VM %s", row.Key)
		}
		var err error
		if page.Rows[i].Value, err = json.Marshal(p.RegionView(region, m)); err != nil {
			return page, errors.Wrapf(err, "encode the VM %s", row.Key)
		}
	}
	return page, nil
}
