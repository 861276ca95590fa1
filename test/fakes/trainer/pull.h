// One pull: acknowledgements out, samples in.
#pragma once

#include "trainer.h"

/// Pull once from the node in use.
///
/// @return HTTP status, 0 if no answer came
int pull_once(struct trainer *t);
