package engineserver

// DefaultSettings returns the settings of a small group.
func DefaultSettings() Settings {
	return Settings{
		Name:         "calls",
		Model:        "assistant",
		Ranks:        4,
		Layers:       2,
		Experts:      16,
		Redundant:    8,
		StepMicros:   2000,
		MaxBatch:     32,
		MaxQueue:     256,
		CacheBlocks:  4096,
		ResumeMS:     2000,
		PrefillBytes: 4096,
		Seed:         1,
	}
}
