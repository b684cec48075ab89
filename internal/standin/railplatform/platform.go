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
	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/store/railweights"
	"github.com/fulmarrail/fulmarrail/platform"
)

// Platform is an in-memory platform. Its exported fields must be set before its first use; later changes go through its methods.
type Platform struct {
	// WriteRate and ReadRate are the rate limits of the table service and the object store in calls per second; 0 means no limit.
	WriteRate, ReadRate float64
	// OriginRate is the bandwidth of the origin's link in bytes per second; 0 means no limit.
	OriginRate float64
	// ListLag is the delay before a change of the VM list becomes visible.
	ListLag time.Duration
	// RegionView returns a VM as listed in a region. If it is nil, all regions see the same list.
	RegionView func(region string, m railmember.Member) railmember.Member
	// Seed is the seed of the random choice of lost responses.
	Seed uint64

	tables railtables.Tables

	mu      sync.Mutex
	random  *rand.Rand
	objects map[string][]byte
	// objectHistory holds the objects that were replaced or added by Write, oldest first.
	objectHistory []replacedObject
	// appliedListChanges holds the changes of the VM list that are visible, with the times at which they became so, oldest first.
	appliedListChanges []listChange
	// pendingListChanges holds the changes of the VM list that are not visible yet, oldest first.
	pendingListChanges []listChange
	storeDown          bool
	listDown           bool
	delay              time.Duration
	responseLoss       float64
	writeLimiter       *rate.Limiter
	readLimiter        *rate.Limiter
	originLimiter      *rate.Limiter

	originBytes, writeCalls, readCalls int64
}

// listChange is a change of the VM list.
type listChange struct {
	at     time.Time
	change railtable.Change
}

// SetDown starts or ends an outage of the table service, the object store and the VM list.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeDown, p.listDown = down, down
}

// SetStoreDown starts or ends an outage of the table service and the object store only.
func (p *Platform) SetStoreDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeDown = down
}

// SetDelay sets the latency added to each call.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetResponseLoss sets the probability, from 0 to 1, that a row write takes effect but returns railtable.ErrUnknown.
func (p *Platform) SetResponseLoss(probability float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseLoss = probability
}

// Get returns a row's value and version.
func (p *Platform) Get(ctx context.Context, key string) ([]byte, int64, error) {
	if err := p.admitCall(ctx, false); err != nil {
		return nil, 0, err
	}
	row := p.tables.Row(platform.TableState, key)
	return row.Value, row.Version, nil
}

// Put writes a row if it has the given version, and returns the new version.
func (p *Platform) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	return p.Change(ctx, railtable.Put(platform.TableState, key, value).WithVersion(version))
}

// Table returns all rows of a table.
func (p *Platform) Table(ctx context.Context, table string) (railreplica.Page, error) {
	region, isList := strings.CutPrefix(table, platform.TableMembers)
	if !isList {
		err := p.admitCall(ctx, false)
		return p.tables.Table(table), err
	}
	if err := p.admitListCall(ctx); err != nil {
		return railreplica.Page{}, err
	}
	return p.applyRegionView(region, p.tables.Table(platform.TableMembers))
}

// Changes returns the rows of a table that changed after a version. If there are none, it waits for the next change, for at most
// the given time.
func (p *Platform) Changes(ctx context.Context, table string, after int64, wait time.Duration) (railreplica.Page, error) {
	region, isList := strings.CutPrefix(table, platform.TableMembers)
	if !isList {
		if err := p.admitCall(ctx, false); err != nil {
			return railreplica.Page{}, err
		}
		return p.tables.Changes(ctx, table, after, wait)
	}
	if err := p.admitListCall(ctx); err != nil {
		return railreplica.Page{}, err
	}
	page, err := p.tables.Changes(ctx, platform.TableMembers, after, wait)
	if err != nil {
		return page, err
	}
	return p.applyRegionView(region, page)
}

// Change applies a change of a row and returns the new version.
func (p *Platform) Change(ctx context.Context, c railtable.Change) (int64, error) {
	if err := p.admitCall(ctx, true); err != nil {
		return 0, err
	}
	version, err := p.tables.Change(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.responseLoss > 0 && p.random.Float64() < p.responseLoss {
		return 0, railtable.ErrUnknown
	}
	return version, err
}

// Read returns an object's content. Reads of chunks are limited to the bandwidth of the origin's link.
func (p *Platform) Read(ctx context.Context, name string) ([]byte, error) {
	if !railweights.IsWeights(name) { // The origin of weights is not affected by the store's outages.
		if err := p.admitCall(ctx, false); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	content, ok := p.objects[name]
	limiter := p.originLimiter
	if railweights.IsChunk(name) {
		p.originBytes += int64(len(content))
	}
	p.mu.Unlock()
	if !ok {
		return nil, errors.Newf("object %s not found", name)
	}
	if limiter != nil && railweights.IsChunk(name) {
		return content, errors.Wrap(limiter.WaitN(ctx, len(content)), "wait for bandwidth on the origin's link")
	}
	return content, nil
}

// Write stores an object's content.
func (p *Platform) Write(ctx context.Context, name string, content []byte) error {
	if err := p.admitCall(ctx, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordReplaced(name)
	p.objects[name] = slices.Clone(content)
	return nil
}

// Members returns the VM list as seen from a region, as of ListLag ago.
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

// SetMember adds a VM to the list or updates it.
func (p *Platform) SetMember(m railmember.Member) {
	row, err := json.Marshal(m)
	if err != nil {
		panic(err) // A member always encodes, since it has only fields of basic types.
	}
	p.queueListChange(railtable.Put(platform.TableMembers, m.Name, row))
}

// RemoveMember removes a VM from the list.
func (p *Platform) RemoveMember(name string) {
	p.queueListChange(railtable.Remove(platform.TableMembers, name))
}

// AddWeights uploads weights to the origin in chunks of chunkSize bytes, makes the version name refer to them, and returns their
// manifest.
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

// OriginBytes returns the number of bytes of chunks read from the origin.
func (p *Platform) OriginBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.originBytes
}

// CallCounts returns the numbers of writes to and reads from the table service and the object store so far.
func (p *Platform) CallCounts() (writes, reads int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writeCalls, p.readCalls
}

func (p *Platform) init() {
	if p.objects != nil {
		return
	}
	p.random = rand.New(rand.NewPCG(p.Seed, p.Seed))
	p.objects = map[string][]byte{}
	if p.WriteRate > 0 {
		p.writeLimiter = rate.NewLimiter(rate.Limit(p.WriteRate), int(p.WriteRate))
	}
	if p.ReadRate > 0 {
		p.readLimiter = rate.NewLimiter(rate.Limit(p.ReadRate), int(p.ReadRate))
	}
	if p.OriginRate > 0 {
		p.originLimiter = rate.NewLimiter(rate.Limit(p.OriginRate), originBurstBytes)
	}
}

const originBurstBytes = 4 << 20

// admitCall waits for the added latency of a call to the table service or the object store. It returns railtable.ErrRefused during an
// outage and above the rate limit.
func (p *Platform) admitCall(ctx context.Context, write bool) error {
	p.mu.Lock()
	p.init()
	storeDown, delay, limiter := p.storeDown, p.delay, p.readLimiter
	if write {
		limiter = p.writeLimiter
		p.writeCalls++
	} else {
		p.readCalls++
	}
	p.mu.Unlock()
	if !railtimer.Sleep(ctx, delay) {
		return errors.Mark(ctx.Err(), railtable.ErrRefused)
	}
	if storeDown || (limiter != nil && !limiter.Allow()) {
		return railtable.ErrRefused
	}
	return nil
}

// admitListCall waits for the added latency of a call to the VM list and applies the list changes that are visible by now. It returns
// railtable.ErrRefused during an outage.
func (p *Platform) admitListCall(ctx context.Context) error {
	p.mu.Lock()
	listDown, delay := p.listDown, p.delay
	p.mu.Unlock()
	if !railtimer.Sleep(ctx, delay) || listDown {
		return railtable.ErrRefused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleUntil := time.Now().Add(-p.ListLag)
	for len(p.pendingListChanges) > 0 && !p.pendingListChanges[0].at.After(visibleUntil) {
		if _, err := p.tables.Change(p.pendingListChanges[0].change); err != nil {
			return err
		}
		p.recordApplied(p.pendingListChanges[0].change)
		p.pendingListChanges = p.pendingListChanges[1:]
	}
	return nil
}

func (p *Platform) queueListChange(c railtable.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingListChanges = append(p.pendingListChanges, listChange{at: time.Now(), change: c})
}

// applyRegionView replaces the rows of the VM list by those that a region sees.
func (p *Platform) applyRegionView(region string, page railreplica.Page) (railreplica.Page, error) {
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
