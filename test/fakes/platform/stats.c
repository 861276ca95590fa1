// Names of the request kinds, and which of them read or write the KV store.
#include "stats.h"

static const char *const stat_names[] = {
	[STAT_KV_GET] = "kv_get",
	[STAT_KV_LIST] = "kv_list",
	[STAT_KV_PUT] = "kv_put",
	[STAT_KV_DELETE] = "kv_delete",
	[STAT_WATCH] = "watch",
	[STAT_LEASE_GRANT] = "lease_grant",
	[STAT_LEASE_RENEW] = "lease_renew",
	[STAT_LEASE_REVOKE] = "lease_revoke",
	[STAT_ORDER] = "order",
	[STAT_USAGE] = "usage",
	[STAT_VMS] = "vms",
	[STAT_FAKE] = "fake",
};

json_t *stats_json(const struct stats *s)
{
	const uint64_t *n = s->calls;
	uint64_t reads = n[STAT_KV_GET] + n[STAT_KV_LIST] + n[STAT_WATCH];
	uint64_t writes = n[STAT_KV_PUT] + n[STAT_KV_DELETE] +
			  n[STAT_LEASE_GRANT] + n[STAT_LEASE_RENEW] +
			  n[STAT_LEASE_REVOKE];
	json_t *obj = json_object();

	for (int i = 0; i < STAT_COUNT; i++)
		json_object_set_new(obj, stat_names[i],
				    json_integer((json_int_t)n[i]));
	json_object_set_new(obj, "kv_reads", json_integer((json_int_t)reads));
	json_object_set_new(obj, "kv_writes", json_integer((json_int_t)writes));
	return obj;
}
