// Registration at the platform stand-in.
#pragma once

#include "engine.h"

/// POST /fake/vms until the platform takes it.
///
/// @param e  engine; thread argument
/// @return NULL
void *register_main(void *e);
