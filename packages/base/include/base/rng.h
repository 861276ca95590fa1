// Seeded pseudorandom generator (splitmix64): the same seed gives the same sequence,
// so that decisions can be reproduced.
#pragma once

#include <stdint.h>

struct rng {
	uint64_t state;
};

/// Next 64 random bits.
///
/// @param r  generator; any value of its state is a valid seed
/// @return uniform value
static inline uint64_t rng_next(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/// Uniform integer below a bound.
///
/// @param n  bound, at least 1
/// @return value in [0, n)
static inline uint64_t rng_below(struct rng *r, uint64_t n)
{
	return rng_next(r) % n;
}

/// Uniform real.
///
/// @return value in [0, 1)
static inline double rng_unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) / 9007199254740992.0;
}
