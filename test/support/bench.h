// Result lines of benchmarks: a measured value and its required bound.
#pragma once

#include <stdbool.h>
#include <stdio.h>

enum bench_side {
	BENCH_AT_MOST,
	BENCH_AT_LEAST,
};

/// Print `bench NAME VALUE UNIT bound BOUND pass|fail`.
///
/// @return whether the value is within the bound
static inline bool bench_check(const char *name, double value, const char *unit,
			       enum bench_side side, double bound)
{
	bool ok = side == BENCH_AT_MOST ? value <= bound : value >= bound;

	printf("bench %s %.6g %s bound %s%.6g %s\n", name, value, unit,
	       side == BENCH_AT_MOST ? "<=" : ">=", bound,
	       ok ? "pass" : "fail");
	fflush(stdout);
	return ok;
}
