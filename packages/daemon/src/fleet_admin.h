// Admin endpoint GET /admin/servers.
#pragma once

#include "core/core.h"

/// Register the route.
enum err fleet_admin_start(struct core *c);
