// State of the suspect module.
#pragma once

struct suspects;
struct trials;

struct suspect_state {
	struct suspects *table;
	struct trials *trials;
};
