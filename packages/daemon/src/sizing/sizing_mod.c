// Autoscaling: the leader orders servers of services that have a size range.
//
// An order gives the total number of servers that a failure domain should have, so
// it is idempotent: repeating it, or losing its answer, changes nothing.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/table_full.h"
#include "core/settings.h"
#include "daemon/lead_mod.h"
#include "daemon/mods.h"
#include "daemon/site_mod.h"
#include "daemon/sizing_mod.h"
#include "fleet/fleet.h"
#include "fleet/spread.h"
#include "lead/lead_call.h"
#include "sizing/need.h"
#include "wire/wire.h"

enum {
	SIZING_DOMAINS_MAX = 64, ///< failure domains of a service
	SIZING_STEP_MS = 1000, ///< fleet_step() expects about one call a second
	SIZING_RETRY_MS = 1000, ///< after an order that was not accepted
	/// From a server's start until this node sees it: a heartbeat to the store
	/// and its way here.
	SIZING_REGISTER_MS = 2500,
	/// No orders this long after a new leader's first look at needs and
	/// servers, which may be incomplete.
	SIZING_SETTLE_MS = 5000,
	SIZING_NO_CAPACITY_MS = 10000, ///< no orders where there was none
	PERCENT = 100,
};

struct sized_domain {
	char name[SITE_NAME_SIZE];
	double price; ///< of a server's second, relative to other domains
	int ordered; ///< servers of the last order that was accepted, 0 for none
	int pending; ///< servers of the outstanding order
	int peak; ///< servers seen or ordered during this leadership
	int64_t accepted_ms; ///< of the last order
	bool order_outstanding;
	int64_t next_order_ms;
	int64_t no_capacity_until_ms; ///< no orders before
};

struct sized_service {
	char name[SITE_NAME_SIZE];
	struct fleet fleet;
	int64_t first_seen_ms; ///< first look during this leadership
	struct sized_domain domains[SIZING_DOMAINS_MAX];
	int n_domains;
};

struct sizing {
	struct need_node node;
	struct need_total total;
	struct sized_service services[NEED_SERVICES_MAX];
	int n_services;
	uint64_t epoch; ///< of the leadership that the tables belong to
	int64_t next_step_ms;
};

struct sizing_order {
	struct sizing *z;
	struct sized_domain *d;
	uint64_t epoch;
	char service[SITE_NAME_SIZE];
	char domain[SITE_NAME_SIZE];
	int servers;
};

static void on_ordered(struct core *c, void *ctx,
		       const struct core_fetch_result *res)
{
	struct sizing_order *call = ctx;
	bool accepted = core_fetch_answered(res) && res->status / 100 == 2;
	struct sized_domain *d = call->d;

	log_event(accepted ? EV_SIZE_ORDERED : EV_SIZE_REFUSED,
		  "service=%s domain=%s servers=%d epoch=%llu error=%s http=%d",
		  call->service, call->domain, call->servers,
		  (unsigned long long)call->epoch, err_code(res->err),
		  res->status);
	/* The tables of an earlier leadership were reset. */
	if (call->z->epoch == call->epoch) {
		d->order_outstanding = false;
		d->next_order_ms = core_now(c) + SIZING_RETRY_MS;
		if (accepted) {
			d->ordered = call->servers;
			d->accepted_ms = core_now(c);
		} else if (core_fetch_answered(res) &&
			   res->status ==
				   core_wire(c)->duty->no_servers_status) {
			d->no_capacity_until_ms =
				core_now(c) + SIZING_NO_CAPACITY_MS;
		}
	}
	free(call);
}

static void send_order(struct core *c, struct sizing *z,
		       const struct sized_service *svc, struct sized_domain *d,
		       int servers)
{
	const struct duty_wire_ops *wire = core_wire(c)->duty;
	struct sizing_order *order = calloc(1, sizeof(*order));
	const struct duty_server_order size = {
		.holder = core_node(c),
		.epoch = z->epoch,
		.service = svc->name,
		.domain = d->name,
		.servers = servers,
	};
	struct lead_call call = {
		.path = wire->server_order_path,
		.on_done = on_ordered,
		.ctx = order,
	};
	struct arena a;

	if (!order)
		return;
	order->z = z;
	order->d = d;
	order->epoch = z->epoch;
	order->servers = servers;
	strcpy(order->service, svc->name);
	strcpy(order->domain, d->name);
	arena_init(&a, 0);
	call.headers = wire->size(&size, &a, &call.body);
	d->order_outstanding = lead_call_send(c, &call) == ERR_OK;
	if (!d->order_outstanding)
		free(order);
	arena_free(&a);
}

struct server_count {
	int present; ///< not leaving
	int usable; ///< may be given work
	int slots; ///< concurrent requests of one server
};

static struct server_count count_servers(struct core *c, const char *service,
					 const char *domain)
{
	const struct site_servers *t = site_mod_servers(c);
	const struct site_server *s;
	struct server_count n = {0};
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter))) {
		if (strcmp(s->entry.service, service) != 0 ||
		    strcmp(s->entry.domain, domain) != 0 || s->entry.leaving)
			continue;
		n.present++;
		n.usable += site_server_usable(t, s);
		n.slots = s->entry.slots;
	}
	return n;
}

/* Servers that were ordered so recently that they may still be booting or not yet
 * visible to this node. */
static int count_starting(const struct sized_domain *d,
			  const struct site_sizing *s, int present, int64_t now)
{
	bool may_be_starting =
		d->ordered &&
		now - d->accepted_ms < s->boot_ms + SIZING_REGISTER_MS;

	return may_be_starting && d->ordered > present ? d->ordered - present
						       : 0;
}

static struct sized_service *sized_service_get(struct core *c, struct sizing *z,
					       const struct site_service *svc)
{
	const struct settings *s = core_settings(c);
	const struct site_sizing *sz = &svc->sizing;
	const struct fleet_opts opts = {
		.target = (double)settings_int(s, S_FLEET_TARGET) / PERCENT,
		.lead_ms = sz->boot_ms,
		.hold_ms = settings_int(s, S_FLEET_HOLD),
		.min = sz->min * sz->n_domains,
		.max = sz->max * sz->n_domains,
	};
	struct sized_service *out;

	for (int i = 0; i < z->n_services; i++) {
		if (strcmp(z->services[i].name, svc->name) == 0)
			return &z->services[i];
	}
	if (z->n_services == NEED_SERVICES_MAX) {
		table_full("sized-services", svc->name, NEED_SERVICES_MAX);
		return NULL;
	}
	out = &z->services[z->n_services++];
	*out = (struct sized_service){0};
	snprintf(out->name, sizeof(out->name), "%s", svc->name);
	out->first_seen_ms = core_now(c);
	fleet_init(&out->fleet, &opts);
	for (int i = 0; i < sz->n_domains; i++) {
		struct sized_domain *d = &out->domains[out->n_domains];

		if (i >= SIZING_DOMAINS_MAX) {
			table_full("sized-domains", sz->domains[i].name,
				   SIZING_DOMAINS_MAX);
			continue;
		}
		out->n_domains++;
		snprintf(d->name, sizeof(d->name), "%s", sz->domains[i].name);
		d->price = sz->domains[i].price;
	}
	return out;
}

/* Current servers of all domains, as input of the decisions. */
static struct fleet_input collect_input(struct core *c,
					struct sized_service *svc,
					const struct site_sizing *sz,
					struct fleet_domain *d, int *slots)
{
	struct fleet_input in = {0};
	int64_t now = core_now(c);

	for (int i = 0; i < svc->n_domains; i++) {
		struct sized_domain *sd = &svc->domains[i];
		struct server_count n = count_servers(c, svc->name, sd->name);
		int n_starting = count_starting(sd, sz, n.present, now);

		d[i] = (struct fleet_domain){
			.price = sd->price,
			.current = n.present + n_starting,
			.no_capacity = sd->no_capacity_until_ms > now,
			.unusable = n.present && !n.usable,
		};
		if (d[i].current > sd->peak)
			sd->peak = d[i].current;
		in.regular += d[i].unusable ? 0 : d[i].current;
		in.starting += n_starting;
		*slots = n.slots ? n.slots : *slots;
	}
	return in;
}

/* While the service as a whole grows, a domain is never ordered below its peak
 * in this leadership: this node may not see all of its servers at present. */
static void order_domains(struct core *c, struct sizing *z,
			  struct sized_service *svc,
			  const struct fleet_domain *d, bool grow)
{
	for (int i = 0; i < svc->n_domains; i++) {
		struct sized_domain *sd = &svc->domains[i];
		int target =
			grow && d[i].target < sd->peak ? sd->peak : d[i].target;
		bool due = grow ? target > d[i].current : target < d[i].current;

		if (!due || d[i].no_capacity || d[i].unusable ||
		    sd->order_outstanding || core_now(c) < sd->next_order_ms)
			continue;
		sd->peak = target;
		send_order(c, z, svc, sd, target);
	}
}

static void size_service(struct core *c, struct sizing *z,
			 const struct site_service *conf)
{
	struct sized_service *svc = sized_service_get(c, z, conf);
	const struct site_sizing *sz = &conf->sizing;
	struct fleet_domain d[SIZING_DOMAINS_MAX];
	const struct need_row *need = need_row_get(&z->total.rows, conf->name);
	struct fleet_input in;
	struct fleet_plan plan;
	int slots = 0;

	if (!svc || !need)
		return;
	in = collect_input(c, svc, sz, d, &slots);
	if (!slots)
		return;
	in.steady = need->requests / slots;
	plan = fleet_step(&svc->fleet, core_now(c), &in);
	if (plan.regular == 0 ||
	    core_now(c) - svc->first_seen_ms < SIZING_SETTLE_MS)
		return;
	fleet_spread(d, svc->n_domains, in.regular + plan.regular, sz->min,
		     sz->max);
	order_domains(c, z, svc, d, plan.regular > 0);
}

static void leader_step(struct core *c, struct sizing *z, uint64_t epoch)
{
	const struct site_conf *conf = site_mod_conf(c);

	if (z->epoch != epoch) {
		z->epoch = epoch;
		z->n_services = 0;
		z->total.last_list_ms = 0;
		z->total.next_list_ms = 0;
	}
	need_total_step(c, &z->total);
	if (!conf || !z->total.last_list_ms || core_now(c) < z->next_step_ms)
		return;
	z->next_step_ms = core_now(c) + SIZING_STEP_MS;
	for (size_t i = 0; i < conf->n_services; i++) {
		if (conf->services[i].sizing.max > 0)
			size_service(c, z, &conf->services[i]);
	}
}

bool sizing_mod_needs_known(struct core *c)
{
	const struct sizing *z = core_mod_state(c, MOD_SIZING);

	return z->total.last_list_ms != 0;
}

double sizing_mod_step_tokens(struct core *c, const char *model)
{
	const struct sizing *z = core_mod_state(c, MOD_SIZING);

	return need_model_step_tokens(&z->total, model);
}

static void sizing_tick(struct core *c, void *state, int64_t now_ms)
{
	struct sizing *z = state;
	uint64_t epoch;

	need_node_step(c, &z->node);
	if (lead_mod_may_act(c, &epoch) && site_mod_keys_fresh(c))
		leader_step(c, z, epoch);
}

static enum err sizing_start(struct core *c, void **state)
{
	struct sizing *z = calloc(1, sizeof(*z));

	if (!z)
		return ERR_NOMEM;
	z->node.stored_empty = true;
	*state = z;
	return ERR_OK;
}

static void sizing_stop(struct core *c, void *state)
{
	free(state);
}

const struct core_mod_ops sizing_mod_ops = {
	.name = "sizing",
	.start = sizing_start,
	.tick = sizing_tick,
	.stop = sizing_stop,
};
