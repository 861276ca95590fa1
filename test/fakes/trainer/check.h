// Checks of a sample against what was promised.
#pragma once

#include "trainer.h"

struct json_t;

/// Take a sample in.
///
/// @param sample  as a pull returned it
void check_sample(struct trainer *t, const struct json_t *sample);
