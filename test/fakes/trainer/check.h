// Checks samples against the rollout API's guarantees.
#pragma once

#include "trainer.h"

struct json_t;

/// Check and record a sample; prints new ones as JSON lines.
///
/// @param sample  as returned by a pull
void check_sample(struct trainer *t, const struct json_t *sample);
