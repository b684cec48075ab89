package railbackend

import "time"

// Backend describes one service. It is immutable.
type Backend struct {
	Name string
	// ColdPerSecond is the maximum rate of requests to an endpoint during cold start, in requests per second; 0 means unlimited.
	ColdPerSecond float64
	// Engine describes the service's model engines. It is nil for a plain service.
	Engine *Engine
	// OriginAddress is the address from which weights are downloaded. It is empty unless this service is the origin of weights.
	OriginAddress string
	// Zone is the origin's availability zone, and Link the capacity of its network link in bytes per second, or 0 if unknown.
	Zone string
	Link int
}

// Engine describes the model engines of a service.
type Engine struct {
	// Model is the name of the model that the engines serve.
	Model string `json:"model"`
	// Slots is the number of requests that an engine processes concurrently.
	Slots int `json:"slots"`
	// Layers is the number of layers of the model, and Chunks the number of chunks into which its weights are split. ChunkBytes is
	// the size of a chunk.
	Layers     int `json:"layers"`
	Chunks     int `json:"chunks"`
	ChunkBytes int `json:"chunkBytes"`
	// MeanPromptTokens and MeanOutputTokens are the mean lengths of prompts and answers in tokens, or 0 if unknown.
	MeanPromptTokens int    `json:"usualPrompt"`
	MeanOutputTokens int    `json:"usualAnswer"`
	Timing           Timing `json:"timing"`
}

// Timing describes the duration of an engine's forward passes.
type Timing struct {
	// StepTime is the time of one decoding step; StepTimePerSequence is added for each request that is generating output.
	StepTime            time.Duration `json:"step"`
	StepTimePerSequence time.Duration `json:"perSequence"`
	// StepsPerPass is the number of decoding steps in a pass that includes requests generating output.
	StepsPerPass int `json:"stride"`
	// PrefillTokensPerSecond is the number of prompt tokens processed per second.
	PrefillTokensPerSecond float64 `json:"readPerSecond"`
	// MaxPrefillTokens is the maximum number of prompt tokens processed in one pass, or 0 if unknown.
	MaxPrefillTokens int `json:"mostRead"`
	// TimePerMillionPairs is the attention time for a million pairs of a token and an earlier token.
	TimePerMillionPairs time.Duration `json:"pairsPerMillion"`
}

// IsEngine reports whether the service's endpoints need weights.
func (b Backend) IsEngine() bool {
	return b.Engine != nil
}

// PrefillTime returns the time an engine takes to process a prompt of the given number of tokens, or 0 if the rate is unknown.
func (t Timing) PrefillTime(tokens int) time.Duration {
	if t.PrefillTokensPerSecond <= 0 {
		return 0
	}
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6
	return time.Duration(float64(tokens)/t.PrefillTokensPerSecond*float64(time.Second)) + time.Duration(pairs*float64(t.TimePerMillionPairs))
}

// MaxPassTime returns the duration of a pass that processes MaxPrefillTokens while the given number of requests generate output.
func (t Timing) MaxPassTime(generating int) time.Duration {
	return time.Duration(t.StepsPerPass)*(t.StepTime+time.Duration(generating)*t.StepTimePerSequence) + t.PrefillTime(t.MaxPrefillTokens)
}
