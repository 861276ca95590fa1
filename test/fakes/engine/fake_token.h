// Tokens of the fake engine: a pure function, so that tests can verify which weight
// version generated each one.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// Hash of a prompt.
///
/// @param prompt  tokens
/// @param n       count
uint64_t fake_prompt_hash(const uint32_t *prompt, size_t n);

/// Hash of a prompt's prefix, as docs/PROTOCOLS.md defines it.
uint64_t fake_prefix_hash(const uint32_t *prompt, size_t n);

/// Token at a position.
///
/// @param prompt   fake_prompt_hash()
/// @param seed     seed of the request
/// @param pos      position from 0, resumed tokens included
/// @param version  weight version that generates it
uint32_t fake_token(uint64_t prompt, uint64_t seed, size_t pos,
		    uint64_t version);

/// Length of a sample without max_tokens: heavy-tailed.
///
/// @return tokens, at least 1
size_t fake_sample_len(uint64_t prompt, uint64_t seed);
