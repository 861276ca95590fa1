// Tables of the daemon's modules.
#include "daemon/mods.h"

const struct core_mod_ops *const daemon_mods[MOD_COUNT] = {
	[MOD_PLATFORM] = &platform_mod_ops, [MOD_MEMBER] = &member_mod_ops,
	[MOD_CONF] = &conf_mod_ops,	    [MOD_FLEET] = &fleet_mod_ops,
	[MOD_DUTY] = &duty_mod_ops,	    [MOD_USAGE] = &usage_mod_ops,
	[MOD_WORK] = &work_mod_ops,	    [MOD_ROLLOUT] = &rollout_mod_ops,
};

const struct core_mod_ops *const daemon_site_mods[MOD_COUNT] = {
	[MOD_PLATFORM] = &platform_mod_ops, [MOD_SITE] = &site_mod_ops,
	[MOD_LEAD] = &lead_mod_ops,	    [MOD_TALLY] = &tally_mod_ops,
	[MOD_JOB] = &job_mod_ops,	    [MOD_ORDER] = &order_mod_ops,
	[MOD_SIZING] = &sizing_mod_ops,	    [MOD_ROOM] = &room_mod_ops,
	[MOD_SUSPECT] = &suspect_mod_ops,   [MOD_FRONT] = &front_mod_ops,
};
