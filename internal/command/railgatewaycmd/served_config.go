package railgatewaycmd

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// askTimeout limits the requests for the versions of the other entries' configurations. An entry that is gone does not respond.
const askTimeout = 500 * time.Millisecond

// servedConfig is the version of the newest configuration that the other entries had when this process started. Their rows may be older: an
// entry writes its row when it starts, and a store that was restored from a copy has lost later ones.
type servedConfig struct {
	once sync.Once

	mu      sync.Mutex
	version int64
	asked   bool
}

// askOnce asks the entries for the versions of their configurations, the first time that it is called.
func (s *servedConfig) askOnce(entries []railmember.Member, request func(ctx context.Context, address string) (int64, error)) {
	s.once.Do(func() { go s.ask(entries, request) })
}

func (s *servedConfig) ask(entries []railmember.Member, request func(ctx context.Context, address string) (int64, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range entries {
		wg.Go(func() {
			if version, err := request(ctx, m.Address); err == nil {
				s.record(version)
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = true
}

func (s *servedConfig) record(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, version)
}

// newest returns the version of the newest configuration, and whether all entries have been asked.
func (s *servedConfig) newest() (version int64, asked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.asked
}
