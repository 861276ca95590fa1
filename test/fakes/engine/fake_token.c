// Derives tokens and sample lengths from hashes.
#include "fake_token.h"

#include <xxhash.h>

enum {
	FAKE_VOCABULARY = 50000,
	FAKE_PREFIX_TOKENS = 256,
	FAKE_LEN_MIN = 8, ///< tokens
	FAKE_DOUBLINGS_MAX = 10, ///< each with probability 1/2
};

uint64_t fake_prompt_hash(const uint32_t *prompt, size_t n)
{
	return XXH64(prompt, n * sizeof(*prompt), 0);
}

uint64_t fake_prefix_hash(const uint32_t *prompt, size_t n)
{
	if (n > FAKE_PREFIX_TOKENS)
		n = FAKE_PREFIX_TOKENS;
	return fake_prompt_hash(prompt, n);
}

uint32_t fake_token(uint64_t prompt, uint64_t seed, size_t pos,
		    uint64_t version)
{
	uint64_t in[4] = {prompt, seed, pos, version};

	return (uint32_t)(XXH64(in, sizeof(in), 0) % FAKE_VOCABULARY);
}

size_t fake_sample_len(uint64_t prompt, uint64_t seed)
{
	uint64_t in[2] = {prompt, seed};
	uint64_t h = XXH64(in, sizeof(in), 1);
	size_t base = FAKE_LEN_MIN + h % FAKE_LEN_MIN;
	int doublings = 0;

	h >>= 16;
	while (doublings < FAKE_DOUBLINGS_MAX && (h & 1)) {
		h >>= 1;
		doublings++;
	}
	return base << doublings;
}
