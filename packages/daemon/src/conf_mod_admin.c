// What operators ask of the configuration.
#include <jansson.h>
#include <stdlib.h>

#include "conf_mod_priv.h"
#include "daemon/member_mod.h"

static void get_conf(struct core *c, struct core_req *r, void *ctx)
{
	struct conf_mod *m = ctx;
	const struct conf *doc = conf_sync_doc(m->sync);

	if (!doc) {
		core_reply_json(c, r->h, 200, json_pack("{s:i}", "rev", 0));
		return;
	}
	core_reply_json(c, r->h, 200, conf_public_json(doc));
}

static const char *member_note(const struct member_view *v)
{
	switch (v->state) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	default:
		return "cut off or dead";
	}
}

static void add_member(struct conf_mod *m, uint64_t rev,
		       const struct member_view *v, json_t *in, json_t *missing)
{
	if (conf_sync_member_rev(m->sync, v->id) >= rev) {
		json_array_append_new(in, json_string(v->id));
		return;
	}
	json_array_append_new(missing, json_pack("{s:s,s:s,s:s}", "node", v->id,
						 "domain", v->domain, "state",
						 member_note(v)));
}

static void get_force(struct core *c, struct core_req *r, void *ctx)
{
	struct conf_mod *m = ctx;
	const struct conf *doc = conf_sync_doc(m->sync);
	const char *text = core_req_query(r, "rev");
	uint64_t rev = text ? strtoull(text, NULL, 10) : 0;
	json_t *in = json_array();
	json_t *missing = json_array();
	size_t n;
	const struct member_view *v = member_mod_all(c, &n);

	conf_sync_ask_missing(m->sync, core_now(c), rev);
	if (doc && conf_rev(doc) >= rev)
		json_array_append_new(in, json_string(core_node(c)));
	else
		json_array_append_new(
			missing,
			json_pack("{s:s,s:s,s:s}", "node", core_node(c),
				  "domain", core_domain(c), "state", "alive"));
	for (size_t i = 0; i < n; i++) {
		if (!conf_mod_member_gone(m, &v[i]))
			add_member(m, rev, &v[i], in, missing);
	}
	core_reply_json(c, r->h, 200,
			json_pack("{s:I,s:o,s:o}", "rev", (json_int_t)rev,
				  "in_force", in, "missing", missing));
}

enum err conf_mod_admin_start(struct conf_mod *m)
{
	struct core_route_opts routes[] = {
		{.method = "GET", .prefix = "/admin/conf", .fn = get_conf},
		{.method = "GET",
		 .prefix = "/admin/conf/force",
		 .fn = get_force},
		{.method = "POST",
		 .prefix = "/admin/conf/edit",
		 .fn = conf_mod_edit},
	};

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		enum err e;

		routes[i].listener = CORE_ADMIN;
		routes[i].ctx = m;
		e = core_route(m->c, &routes[i]);
		if (e)
			return e;
	}
	return ERR_OK;
}
