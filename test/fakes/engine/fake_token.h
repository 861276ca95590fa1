// Tokens that the fake engine generates: a pure function, so that a test can verify
// which weight version generated each token.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// Hash of a prompt.
///
/// @param prompt  tokens
/// @param n       number of tokens
uint64_t fake_prompt_hash(const uint32_t *prompt, size_t n);

/// Hash of a prompt's prefix (its first 256 tokens), as docs/PROTOCOLS.md defines it.
uint64_t fake_prefix_hash(const uint32_t *prompt, size_t n);

/// Token at a position.
///
/// @param prompt   fake_prompt_hash()
/// @param seed     seed of the request
/// @param pos      position from 0, resumed tokens included
/// @param version  weight version that generates it
uint32_t fake_token(uint64_t prompt, uint64_t seed, size_t pos,
		    uint64_t version);

/// Natural length of a sample in tokens, before max_tokens; heavy-tailed.
///
/// @return number of tokens, at least 1
size_t fake_stop_at(uint64_t prompt, uint64_t seed);
