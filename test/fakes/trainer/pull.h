// One pull request: sends acknowledgements, receives samples.
#pragma once

#include "trainer.h"

/// Pull once from the current node.
///
/// @return HTTP status, 0 if there was no complete response
int pull_once(struct trainer *t);
