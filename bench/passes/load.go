package passes

import "snipeshift.example/lib/route"

// SmallFleetEngine is the engine of today's deployments, by its published figures.
var SmallFleetEngine = route.Engine{
	Slots: 16, Memory: 450_000, Step: 0.925, Writer: 0.00483, Context: 0.00254, Read: 256, Pairs: 0.0917, Stride: 46, Hop: 0.1,
}

// kinds are the three lengths of prompts of today's users: notes, files and histories.
func kinds(notes, files, histories float64) []Kind {
	return []Kind{
		{Name: "note", Rate: notes, MeanPrompt: 4960, PromptSpread: 0.9, MaxPrompt: 23_800, MeanEvents: 35, EventSpread: 0.7, Aim: 300, Gap: 200, TimeLimit: 10_000, Worth: 1.3},
		{Name: "file", Rate: files, MeanPrompt: 45_000, PromptSpread: 0.5, MaxPrompt: 110_000, MeanEvents: 21, EventSpread: 0.6, Aim: 1500, Gap: 500, TimeLimit: 10_000, Worth: 3.1},
		{Name: "history", Rate: histories, MeanPrompt: 210_000, PromptSpread: 0.55, MaxPrompt: 1_000_000, MeanEvents: 17, EventSpread: 0.5, Aim: 3000, Gap: 800, TimeLimit: 15_000, Worth: 22},
	}
}

// LargeFleetEngine is an engine of a larger fleet: fewer slots, less memory, longer passes.
var LargeFleetEngine = route.Engine{
	Slots: 12, Memory: 382_500, Step: 0.925, Writer: 0.00483, Context: 0.00254, Read: 256, Pairs: 0.0917, Stride: 52, Hop: 0.1,
}

// fleet are the lengths and rates of a fleet of sixty engines whose histories are three hundred thousand tokens long.
var fleet = []Kind{
	{Name: "note", Rate: 76.4, MeanPrompt: 4960, PromptSpread: 0.9, MaxPrompt: 23_800, MeanEvents: 33, EventSpread: 0.7, Aim: 300, Gap: 200, TimeLimit: 10_000, Worth: 1.4},
	{Name: "file", Rate: 12.2, MeanPrompt: 45_000, PromptSpread: 0.5, MaxPrompt: 110_000, MeanEvents: 20, EventSpread: 0.6, Aim: 1500, Gap: 500, TimeLimit: 10_000, Worth: 2.6},
	{Name: "history", Rate: 2.08, MeanPrompt: 300_000, PromptSpread: 0.55, MaxPrompt: 1_000_000, MeanEvents: 16.5, EventSpread: 0.5, Aim: 4000, Gap: 800, TimeLimit: 15_000, Worth: 30},
}

// long is a phase that does not end.
var long = [][]float64{{0.32, 1.3, 2.8}}

// shifting is a day in phases: long work and short work press in turn.
var shifting = [][]float64{{0.32, 1.3, 2.8}, {2.5, 0.5, 0.05}, {0.34, 1.3, 2.7}}

// flood is a day in which all come at once for a while.
var flood = [][]float64{{1, 1, 1}, {3, 3, 3}, {1, 1, 1}}

// Loads are the loads that decisions are measured on.
func Loads() map[string]*Load {
	load := func(engines int, scale float64, ks []Kind, phases [][]float64) *Load {
		return &Load{Kinds: ks, Phases: phases, PhaseTime: 10_000, Scale: scale, Engines: engines, Engine: SmallFleetEngine, Length: 34_000}
	}
	grouped := func(scale float64, phases [][]float64) *Load {
		return &Load{Kinds: fleet, Phases: phases, PhaseTime: 10_000, Scale: scale, Engines: 60, Engine: LargeFleetEngine, Length: 34_000}
	}
	small, large := kinds(39.5, 2.87, 1.19), kinds(50.5, 3.66, 1.52)
	return map[string]*Load{
		"shift18":  load(18, 0.83, small, shifting),
		"shift23":  load(23, 0.83, large, shifting),
		"over18":   load(18, 1.4, small, shifting),
		"flood14":  load(14, 1, small, flood),
		"press18":  load(18, 1.1, small, shifting),
		"press23":  load(23, 1.1, large, shifting),
		"long60":   grouped(1, long),
		"press60":  grouped(1.15, long),
		"shift60":  grouped(1, shifting),
		"steady18": load(18, 1, small, nil),
		"steady23": load(23, 1, large, nil),
	}
}
