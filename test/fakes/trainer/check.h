// Checks received samples against the guarantees of the rollout API.
#pragma once

#include "trainer.h"

struct json_t;

/// Check a sample and record it; on first receipt print it as a JSON line.
///
/// @param sample  sample as returned by a pull
void check_sample(struct trainer *t, const struct json_t *sample);
