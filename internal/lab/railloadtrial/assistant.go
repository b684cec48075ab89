package railloadtrial

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railbackend"
)

// Assistant returns a trial of a typical assistant workload: three kinds of request, and engines that each sustain about nine
// requests per second.
func Assistant(policy string, seed uint64) *Trial {
	kind := func(name string, requestsPerSecond float64, promptTokens, outputTokens int, firstTokenTarget time.Duration, value, lateValue float64) RequestKind {
		return RequestKind{
			Name: name, RequestsPerSecond: requestsPerSecond, PromptTokens: promptTokens, OutputTokens: outputTokens, FirstTokenTarget: firstTokenTarget, MaxTokenGap: 400 * time.Millisecond, Deadline: 6 * time.Second,
			Value: value, LateValue: lateValue,
		}
	}
	return &Trial{
		Policy: policy, Seed: seed, Entries: 6, Engines: 27, Slots: 16, ChunkTokens: 2048, Duration: 20 * time.Second,
		Timing: railbackend.Timing{
			StepTime: 8870 * time.Microsecond, StepTimePerSequence: 40 * time.Microsecond, StepsPerPass: 5, PrefillTokensPerSecond: 19_100, TimePerMillionPairs: 1470 * time.Microsecond,
		},
		Kinds: []RequestKind{
			kind("brief", 79, 1330, 105, 500*time.Millisecond, 2.4, 0.6),
			kind("check", 60, 827, 105, 400*time.Millisecond, 2, 0.5),
			kind("question", 57, 647, 70, 400*time.Millisecond, 1.5, 0.37),
		},
	}
}

// WithEngineChanges sets changes of the number of available engines and returns t.
func (t *Trial) WithEngineChanges(changes ...EngineChange) *Trial {
	t.EngineChanges = changes
	return t
}
