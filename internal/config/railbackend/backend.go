package railbackend

import "time"

// Backend is one service; it is immutable.
type Backend struct {
	Name string
	// ColdPerSecond is the number of requests a second that an endpoint bears in cold start; 0 means no limit.
	ColdPerSecond float64
	// Engine describes the service's model engines; it is nil for a plain service.
	Engine *Engine
	// OriginAddress is the address of the origin of weights, for the service that is one.
	OriginAddress string
	// Zone is the origin's availability zone, and Link the rate of its link in bytes a second, or 0 where it is not known.
	Zone string
	Link int
}

// Engine describes the model engines of a service.
type Engine struct {
	// Model is the name of the model that the engines serve.
	Model string `json:"model"`
	// Slots is the number of requests that an engine works on at once.
	Slots int `json:"slots"`
	// Layers is the number of the model's layers, and Chunks that of the pieces that its weights consist of.
	Layers     int `json:"layers"`
	Chunks     int `json:"chunks"`
	ChunkBytes int `json:"chunkBytes"`
	// MeanPromptTokens and UsualAnswer are the mean numbers of a prompt's and an answer's tokens, or 0 where they are not known.
	MeanPromptTokens int    `json:"usualPrompt"`
	MeanOutputTokens int    `json:"usualAnswer"`
	Timing           Timing `json:"timing"`
}

// Timing holds what one pass of an engine takes.
type Timing struct {
	// StepTime is the time of one token step, and PerSequence is added to it for each request that is writing.
	StepTime            time.Duration `json:"step"`
	StepTimePerSequence time.Duration `json:"perSequence"`
	// StepsPerPass is the number of steps of a pass that includes writers.
	StepsPerPass int `json:"stride"`
	// PrefillTokensPerSecond is the number of prompt tokens that are read in a second.
	PrefillTokensPerSecond float64 `json:"readPerSecond"`
	// MaxPrefillTokens is the most prompt tokens that one pass reads, or 0 where it is not known.
	MaxPrefillTokens int `json:"mostRead"`
	// TimePerMillionPairs is the time for a million pairs of a token and an earlier one.
	TimePerMillionPairs time.Duration `json:"pairsPerMillion"`
}

// IsEngine reports whether the service's endpoints need weights.
func (b Backend) IsEngine() bool {
	return b.Engine != nil
}

// PrefillTime returns the time for which an engine reads a prompt of the given number of tokens.
func (t Timing) PrefillTime(tokens int) time.Duration {
	if t.PrefillTokensPerSecond <= 0 {
		return 0
	}
	pairs := float64(tokens) * float64(tokens) / 2 / 1e6
	return time.Duration(float64(tokens)/t.PrefillTokensPerSecond*float64(time.Second)) + time.Duration(pairs*float64(t.TimePerMillionPairs))
}

// MaxPassTime returns the time of a pass that reads as much as it can while a number of requests are writing.
func (t Timing) MaxPassTime(writers int) time.Duration {
	return time.Duration(t.StepsPerPass)*(t.StepTime+time.Duration(writers)*t.StepTimePerSequence) + t.PrefillTime(t.MaxPrefillTokens)
}
