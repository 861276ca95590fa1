// The daemon's modules, by kind of system.
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

extern const struct core_mod_ops site_mod_ops;
extern const struct core_mod_ops lead_mod_ops;
extern const struct core_mod_ops tally_mod_ops;
extern const struct core_mod_ops job_mod_ops;
extern const struct core_mod_ops order_mod_ops;
extern const struct core_mod_ops sizing_mod_ops;
extern const struct core_mod_ops room_mod_ops;
extern const struct core_mod_ops suspect_mod_ops;
extern const struct core_mod_ops front_mod_ops;

/// Modules of a system that coordinates only through the platform's store; an adapter
/// translates the protocols of its platform, callers and servers.
extern const struct core_mod_ops *const daemon_site_mods[MOD_COUNT];

/// Modules of a system that uses the project's own protocols, indexed by
/// enum core_mod.
extern const struct core_mod_ops *const daemon_mods[MOD_COUNT];
