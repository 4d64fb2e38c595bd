package passes

import "snipeshift.example/lib/route"

// SmallFleetEngine is the engine of the smaller modelled fleets, with published timing figures.
var SmallFleetEngine = route.Engine{
	Slots: 16, Memory: 450_000, Step: 0.925, Writer: 0.00483, Context: 0.00254, Read: 256, Pairs: 0.0917, Stride: 46, Hop: 0.1,
}

// kinds returns the three kinds of requests, short, medium and very long prompts, with the given
// rates in requests a second.
func kinds(noteRate, fileRate, historyRate float64) []Kind {
	return []Kind{
		{Name: "note", Rate: noteRate, MeanPrompt: 4960, PromptSpread: 0.9, MaxPrompt: 23_800, MeanEvents: 35, EventSpread: 0.7, Aim: 300, Gap: 200, TimeLimit: 10_000, Worth: 1.3},
		{Name: "file", Rate: fileRate, MeanPrompt: 45_000, PromptSpread: 0.5, MaxPrompt: 110_000, MeanEvents: 21, EventSpread: 0.6, Aim: 1500, Gap: 500, TimeLimit: 10_000, Worth: 3.1},
		{Name: "history", Rate: historyRate, MeanPrompt: 210_000, PromptSpread: 0.55, MaxPrompt: 1_000_000, MeanEvents: 17, EventSpread: 0.5, Aim: 3000, Gap: 800, TimeLimit: 15_000, Worth: 22},
	}
}

// LargeFleetEngine is the engine of the larger modelled fleet: fewer slots, less memory, longer
// passes.
var LargeFleetEngine = route.Engine{
	Slots: 12, Memory: 382_500, Step: 0.925, Writer: 0.00483, Context: 0.00254, Read: 256, Pairs: 0.0917, Stride: 52, Hop: 0.1,
}

// largeFleetKinds are the kinds of requests for a fleet of 60 engines, whose very long prompts have
// 300,000 tokens on average.
var largeFleetKinds = []Kind{
	{Name: "note", Rate: 76.4, MeanPrompt: 4960, PromptSpread: 0.9, MaxPrompt: 23_800, MeanEvents: 33, EventSpread: 0.7, Aim: 300, Gap: 200, TimeLimit: 10_000, Worth: 1.4},
	{Name: "file", Rate: 12.2, MeanPrompt: 45_000, PromptSpread: 0.5, MaxPrompt: 110_000, MeanEvents: 20, EventSpread: 0.6, Aim: 1500, Gap: 500, TimeLimit: 10_000, Worth: 2.6},
	{Name: "history", Rate: 2.08, MeanPrompt: 300_000, PromptSpread: 0.55, MaxPrompt: 1_000_000, MeanEvents: 16.5, EventSpread: 0.5, Aim: 4000, Gap: 800, TimeLimit: 15_000, Worth: 30},
}

// longPhase is a single phase in which very long prompts prevail throughout.
var longPhase = [][]float64{{0.32, 1.3, 2.8}}

// shiftingPhases alternate: very long prompts prevail, then short ones, then very long ones again.
var shiftingPhases = [][]float64{{0.32, 1.3, 2.8}, {2.5, 0.5, 0.05}, {0.34, 1.3, 2.7}}

// floodPhases triple the rates of all kinds in the second phase.
var floodPhases = [][]float64{{1, 1, 1}, {3, 3, 3}, {1, 1, 1}}

// Loads returns the measured loads by name.
func Loads() map[string]*Load {
	load := func(engines int, scale float64, ks []Kind, phases [][]float64) *Load {
		return &Load{Kinds: ks, Phases: phases, PhaseTime: 10_000, Scale: scale, Engines: engines, Engine: SmallFleetEngine, Length: 34_000}
	}
	grouped := func(scale float64, phases [][]float64) *Load {
		return &Load{Kinds: largeFleetKinds, Phases: phases, PhaseTime: 10_000, Scale: scale, Engines: 60, Engine: LargeFleetEngine, Length: 34_000}
	}
	small, large := kinds(39.5, 2.87, 1.19), kinds(50.5, 3.66, 1.52)
	return map[string]*Load{
		"shift18":  load(18, 0.83, small, shiftingPhases),
		"shift23":  load(23, 0.83, large, shiftingPhases),
		"over18":   load(18, 1.4, small, shiftingPhases),
		"flood14":  load(14, 1, small, floodPhases),
		"press18":  load(18, 1.1, small, shiftingPhases),
		"press23":  load(23, 1.1, large, shiftingPhases),
		"long60":   grouped(1, longPhase),
		"press60":  grouped(1.15, longPhase),
		"shift60":  grouped(1, shiftingPhases),
		"steady18": load(18, 1, small, nil),
		"steady23": load(23, 1, large, nil),
	}
}
