// Runs the membership on the event loop: seeds, messages, actions, status.
#include "daemon/member_mod.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/fleet_mod.h"
#include "daemon/mods.h"
#include "member/member.h"
#include "member_log.h"

struct member_mod {
	struct member *m;
	struct member_log log;
	uint64_t fleet_gen; ///< generation of the VM list of the seeds
	uint64_t logged_gen; ///< member_gen() at the last log
};

static const enum core_peer_msg peer_msgs[] = {
	[MEMBER_HEARTBEAT] = PEER_MEMBER_HEARTBEAT,
	[MEMBER_VERSIONS] = PEER_MEMBER_VERSIONS,
	[MEMBER_SUMMARY] = PEER_MEMBER_SUMMARY,
};

static struct member_mod *mod(const struct core *c)
{
	return core_mod_state(c, MOD_MEMBER);
}

static void run_actions(struct core *c, struct member_mod *s)
{
	struct member_action a;

	while (member_next_action(s->m, &a)) {
		switch (a.kind) {
		case MEMBER_CONNECT:
			core_peer_add(c, a.node, a.addr);
			break;
		case MEMBER_RESET:
			core_peer_reset(c, a.node);
			break;
		case MEMBER_DISCONNECT:
			core_peer_del(c, a.node);
			break;
		case MEMBER_SEND:
			core_peer_send(c, a.node, peer_msgs[a.type], a.buf,
				       a.len);
			break;
		}
	}
}

static void on_msg(struct core *c, struct member_mod *s, enum member_msg type,
		   const char *from, const void *buf, size_t len)
{
	enum err e = member_on_msg(s->m, core_now(c), from, type, buf, len);

	if (e != ERR_OK) {
		metric_add(M_MEMBER_BAD, 1);
		log_event(EV_MEMBER_BAD, "from=%s type=%d bytes=%zu error=%s",
			  from, (int)type, len, err_code(e));
	}
	run_actions(c, s);
}

static void on_beat(struct core *c, void *ctx, const char *from,
		    const void *buf, size_t len)
{
	on_msg(c, ctx, MEMBER_HEARTBEAT, from, buf, len);
}

static void on_versions(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	on_msg(c, ctx, MEMBER_VERSIONS, from, buf, len);
}

static void on_summary(struct core *c, void *ctx, const char *from,
		       const void *buf, size_t len)
{
	on_msg(c, ctx, MEMBER_SUMMARY, from, buf, len);
}

/// Add one seed, "id@domain@IP:port".
static enum err add_seed(struct member *m, char *text)
{
	char *domain = strchr(text, '@');
	char *addr = domain ? strchr(domain + 1, '@') : NULL;

	if (!addr)
		return ERR_INVALID;
	*domain++ = '\0';
	*addr++ = '\0';
	return member_add_seed(m, text, domain, addr, true);
}

static void add_settings_seeds(struct core *c, struct member *m)
{
	char *list = strdup(settings_str(core_settings(c), S_PEER_SEEDS));
	char *save;

	if (!list)
		return;
	for (char *s = strtok_r(list, ", \t", &save); s;
	     s = strtok_r(NULL, ", \t", &save)) {
		if (add_seed(m, s) != ERR_OK)
			log_event(EV_SEED_BAD, "seed=%s", s);
	}
	free(list);
}

static void add_vm_seeds(struct core *c, struct member_mod *s)
{
	size_t n;
	const struct fleet_vm *vms;

	if (fleet_mod_gen(c) == s->fleet_gen)
		return;
	s->fleet_gen = fleet_mod_gen(c);
	vms = fleet_mod_vms(c, &n);
	member_clear_seeds(s->m);
	for (size_t i = 0; i < n; i++) {
		if (vms[i].kind == VM_ENTRY && vms[i].state != VM_LEAVING)
			member_add_seed(s->m, vms[i].id, vms[i].domain,
					vms[i].addr, false);
	}
}

static struct member *member_make(struct core *c)
{
	const struct settings *s = core_settings(c);
	uint64_t now = (uint64_t)clock_wall_ms();
	struct member_opts opts = {
		.id = core_node(c),
		.domain = core_domain(c),
		.addr = settings_str(s, S_PEER_LISTEN),
		.incarnation = now,
		.heartbeat_ms = settings_int(s, S_MEMBER_HEARTBEAT),
		.silence_ms = settings_int(s, S_MEMBER_SILENCE),
		.suspect_ms = settings_int(s, S_MEMBER_SUSPECT),
		.forget_ms = settings_int(s, S_MEMBER_FORGET),
		.seed = strtoull(core_incarnation(c), NULL, 16),
	};

	return member_new(&opts, core_now(c));
}

static enum err member_start(struct core *c, void **state)
{
	struct member_mod *s = calloc(1, sizeof(*s));
	enum err e;

	if (!s)
		return ERR_NOMEM;
	*state = s;
	s->m = member_make(c);
	if (!s->m) {
		free(s);
		*state = NULL;
		return ERR_NOMEM;
	}
	add_settings_seeds(c, s->m);
	e = core_peer_on(c, PEER_MEMBER_HEARTBEAT, on_beat, s);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_MEMBER_VERSIONS, on_versions, s);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_MEMBER_SUMMARY, on_summary, s);
	return e;
}

static void member_mod_tick(struct core *c, void *state, int64_t now_ms)
{
	struct member_mod *s = state;

	add_vm_seeds(c, s);
	member_tick(s->m, now_ms);
	run_actions(c, s);
	if (member_gen(s->m) == s->logged_gen)
		return;
	s->logged_gen = member_gen(s->m);
	member_log_changes(&s->log, s->m);
}

static void member_mod_drain(struct core *c, void *state)
{
	struct member_mod *s = state;

	member_drain(s->m);
}

static void member_mod_stop(struct core *c, void *state)
{
	struct member_mod *s = state;

	if (!s)
		return;
	member_leave(s->m, core_now(c));
	run_actions(c, s);
	member_free(s->m);
	member_log_clear(&s->log);
	free(s);
}

static json_t *status_domain(const struct member_domain *d)
{
	return json_pack("{s:s,s:b,s:i,s:i}", "domain", d->name, "heard",
			 (int)d->heard, "alive", (int)d->alive, "draining",
			 (int)d->draining);
}

static void member_status(struct core *c, void *state, struct json_t *obj)
{
	static const char *const names[] = {"alive", "suspect", "dead"};
	json_t *members = json_array();
	json_t *domains = json_array();
	size_t n_views, n_domains;
	const struct member_view *v = member_mod_members(c, &n_views);
	const struct member_domain *d = member_mod_domains(c, &n_domains);

	for (size_t i = 0; i < n_views; i++) {
		json_array_append_new(
			members, json_pack("{s:s,s:s,s:s,s:b}", "node", v[i].id,
					   "domain", v[i].domain, "state",
					   names[v[i].state], "draining",
					   (int)v[i].draining));
	}
	for (size_t i = 0; i < n_domains; i++)
		json_array_append_new(domains, status_domain(&d[i]));
	json_object_set_new(obj, "members", members);
	json_object_set_new(obj, "domains", domains);
}

const struct member_view *member_mod_members(struct core *c, size_t *n)
{
	return member_views(mod(c)->m, n);
}

const struct member_domain *member_mod_domains(struct core *c, size_t *n)
{
	return member_domains(mod(c)->m, n);
}

bool member_mod_domain_heard(struct core *c, const char *domain)
{
	size_t n;
	const struct member_domain *d = member_mod_domains(c, &n);

	if (strcmp(domain, core_domain(c)) == 0)
		return true;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(d[i].name, domain) == 0)
			return d[i].heard;
	}
	return false;
}

uint64_t member_mod_gen(struct core *c)
{
	return member_gen(mod(c)->m);
}

void member_mod_set(struct core *c, enum member_key key, int64_t value)
{
	member_set(mod(c)->m, key, value);
}

bool member_mod_get(struct core *c, const char *node, enum member_key key,
		    int64_t *value)
{
	return member_get(mod(c)->m, node, key, value);
}

const struct core_mod_ops member_mod_ops = {
	.name = "member",
	.start = member_start,
	.tick = member_mod_tick,
	.drain = member_mod_drain,
	.status = member_status,
	.stop = member_mod_stop,
};
