// Admin API of the configuration: reads, edits, and nodes that have a revision.
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

static const char *member_state_text(const struct member_view *v)
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
		       const struct member_view *v, json_t *in_force,
		       json_t *missing)
{
	if (conf_sync_member_rev(m->sync, v->id) >= rev) {
		json_array_append_new(in_force, json_string(v->id));
		return;
	}
	json_array_append_new(missing, json_pack("{s:s,s:s,s:s}", "node", v->id,
						 "domain", v->domain, "state",
						 member_state_text(v)));
}

static void add_self(struct conf_mod *m, uint64_t rev, json_t *in_force,
		     json_t *missing)
{
	const struct conf *doc = conf_sync_doc(m->sync);

	if (doc && conf_rev(doc) >= rev)
		json_array_append_new(in_force, json_string(core_node(m->c)));
	else
		json_array_append_new(missing,
				      json_pack("{s:s,s:s,s:s}", "node",
						core_node(m->c), "domain",
						core_domain(m->c), "state",
						"alive"));
}

/// List a failure domain of which only some nodes are contacts here, and whose
/// summary doesn't show the revision on all nodes.
static void add_domain(const struct member_domain *d, uint64_t rev,
		       json_t *missing)
{
	if (d->alive <= d->n_contacts ||
	    (d->heard && d->min[MEMBER_CONF_REVISION] >= (int64_t)rev))
		return;
	json_array_append_new(
		missing,
		json_pack("{s:s,s:s,s:s}", "node", "others", "domain", d->name,
			  "state", d->heard ? "alive" : "cut off or dead"));
}

static void get_in_force(struct core *c, struct core_req *r, void *ctx)
{
	struct conf_mod *m = ctx;
	const char *text = core_req_query(r, "rev");
	uint64_t rev = text ? strtoull(text, NULL, 10) : 0;
	json_t *in_force = json_array();
	json_t *missing = json_array();
	size_t n, n_domains;
	const struct member_view *v = member_mod_members(c, &n);
	const struct member_domain *d = member_mod_domains(c, &n_domains);

	conf_sync_query_missing(m->sync, core_now(c), rev);
	add_self(m, rev, in_force, missing);
	for (size_t i = 0; i < n; i++) {
		if (!conf_mod_member_replaced(m, &v[i]))
			add_member(m, rev, &v[i], in_force, missing);
	}
	for (size_t i = 1; i < n_domains; i++) /* 0 is the own domain */
		add_domain(&d[i], rev, missing);
	core_reply_json(c, r->h, 200,
			json_pack("{s:I,s:o,s:o}", "rev", (json_int_t)rev,
				  "in_force", in_force, "missing", missing));
}

enum err conf_mod_admin_start(struct conf_mod *m)
{
	struct core_route_opts routes[] = {
		{.method = "GET", .prefix = "/admin/conf", .fn = get_conf},
		{.method = "GET",
		 .prefix = "/admin/conf/force",
		 .fn = get_in_force},
		{.method = "POST",
		 .prefix = "/admin/conf/edit",
		 .fn = conf_mod_handle_edit},
	};

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		enum err e;

		routes[i].listener = CORE_LISTENER_ADMIN;
		routes[i].ctx = m;
		e = core_route(m->c, &routes[i]);
		if (e)
			return e;
	}
	return ERR_OK;
}
