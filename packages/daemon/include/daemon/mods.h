// The daemon's modules.
#pragma once

#include "core/core.h"

extern const struct core_mod_ops platform_mod_ops;
extern const struct core_mod_ops member_mod_ops;
extern const struct core_mod_ops conf_mod_ops;
extern const struct core_mod_ops fleet_mod_ops;
extern const struct core_mod_ops duty_mod_ops;
extern const struct core_mod_ops usage_mod_ops;
extern const struct core_mod_ops work_mod_ops;
extern const struct core_mod_ops rollout_mod_ops;

/// All modules, in the order of enum core_mod.
extern const struct core_mod_ops *const daemon_mods[MOD_COUNT];
