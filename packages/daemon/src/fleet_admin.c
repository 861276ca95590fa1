// GET /admin/servers: the backend servers known to this node.
#include "fleet_admin.h"

#include <jansson.h>

#include "daemon/fleet_mod.h"

static json_t *admin_server(const struct core *c, const struct fleet_vm *vm)
{
	static const char *const kinds[] = {
		[VM_ENTRY] = "entry",
		[VM_ENGINE] = "engine",
		[VM_SERVICE] = "service",
	};
	static const char *const states[] = {
		[VM_STARTING] = "starting",
		[VM_LIVE] = "live",
		[VM_LEAVING] = "leaving",
	};

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:I}", "id", vm->id,
			 "addr", vm->addr, "domain", vm->domain, "kind",
			 kinds[vm->kind], "service", vm->service, "state",
			 states[vm->state], "cheap", (int)vm->cheap, "known_ms",
			 (json_int_t)(core_now(c) - vm->first_seen_ms));
}

static void admin_servers(struct core *c, struct core_req *r, void *ctx)
{
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(c, &n);
	json_t *arr = json_array();

	for (size_t i = 0; i < n; i++) {
		if (vms[i].kind != VM_ENTRY)
			json_array_append_new(arr, admin_server(c, &vms[i]));
	}
	core_reply_json(c, r->h, 200, json_pack("{s:o}", "servers", arr));
}

enum err fleet_admin_start(struct core *c)
{
	const struct core_route_opts opts = {
		.listener = CORE_LISTENER_ADMIN,
		.method = "GET",
		.prefix = "/admin/servers",
		.fn = admin_servers,
	};

	return core_route(c, &opts);
}
