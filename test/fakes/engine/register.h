// Registration at the fake platform.
#pragma once

#include "engine.h"

/// Thread function: POST /fake/vms until the platform accepts it.
///
/// @param e  struct engine
/// @return NULL
void *register_main(void *e);
