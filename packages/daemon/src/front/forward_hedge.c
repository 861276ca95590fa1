// Hedged requests: sends a second attempt while the first is late, and records the
// outcome of attempts for the health of their servers.
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "front/front.h"

static int64_t hedge_limit_percent(struct core *c)
{
	return settings_int(core_settings(c), S_FRONT_HEDGE);
}

static struct response_times *service_times(struct front *fr,
					    const char *service)
{
	int i = 0;

	while (i < fr->n_services && strcmp(fr->services[i].name, service) != 0)
		i++;
	if (i == FRONT_MAX_SERVICES)
		i--;
	else if (i == fr->n_services)
		fr->n_services++;
	if (strcmp(fr->services[i].name, service) != 0) {
		memset(&fr->services[i], 0, sizeof(fr->services[i]));
		snprintf(fr->services[i].name, sizeof(fr->services[i].name),
			 "%s", service);
	}
	return &fr->services[i].times;
}

void forward_hedge_init(struct core *c, struct forward *f,
			const struct site_route *route)
{
	if (route->kind != SITE_IDEMPOTENT || route->target_ms <= 0 ||
	    !hedge_limit_percent(c))
		return;
	f->may_hedge = true;
	f->target_ms = route->target_ms;
	hedge_budget_request(&front_of(c)->budget, core_now(c));
}

void forward_hedge_sent(struct core *c, struct forward *f,
			struct forward_attempt *t, struct site_server *s)
{
	const struct response_times *times =
		service_times(front_of(c), f->service);

	if (!f->may_hedge)
		return;
	t->probe = site_server_call_begin(site_mod_servers(c), s, core_now(c));
	t->expected_by_ms =
		core_now(c) +
		hedge_after_ms(response_times_median_ms(times), f->target_ms);
}

void forward_hedge_outcome(struct core *c, struct forward *f,
			   struct forward_attempt *t, enum site_outcome outcome)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), t->server);

	if (!f->may_hedge || t->outcome_recorded)
		return;
	t->outcome_recorded = true;
	if (!s || !site_server_call_end(site_mod_servers(c), s, core_now(c),
					outcome, t->probe))
		return;
	metric_add(M_SERVERS_AVOIDED, 1);
	log_event(EV_FRONT_AVOID, "server=%s service=%s domain=%s request=%s",
		  t->server_id, f->service, s->entry.domain, f->id);
}

void forward_hedge_answered(struct core *c, struct forward *f,
			    const struct forward_attempt *t)
{
	if (f->may_hedge)
		response_times_add(service_times(front_of(c), f->service),
				   core_now(c) - t->sent_ms);
}

bool forward_hedge_may_retry(struct core *c, struct forward *f)
{
	if (!f->may_hedge ||
	    hedge_budget_take(&front_of(c)->budget, core_now(c),
			      (int)hedge_limit_percent(c), HEDGE_FOR_SUCCESS))
		return true;
	metric_add(M_WORK_ADDED_DENIED, 1);
	return false;
}

/* Server for a hedged attempt: one not tried yet, preferably of another failure
 * domain, and not one that is being avoided. */
static struct site_server *choose_hedge_server(struct core *c,
					       const struct forward *f)
{
	struct site_servers *servers = site_mod_servers(c);
	const struct site_server *first =
		site_servers_get(servers, f->attempts[f->last_attempt].server);
	const struct site_service *svc =
		site_conf_service(site_mod_conf(c), f->service);
	const struct site_request ask = {
		.service = f->service,
		.domain = core_domain(c),
		.not = f->tried,
		.n_exclude = f->n_tried,
		.cold_rate = svc ? svc->cold_rate : 0,
		.live = true,
		.away = first ? first->entry.domain : NULL,
		.spare_limited = true,
	};
	struct site_server *s = site_servers_choose(servers, core_now(c), &ask);

	return s && !site_health_ejected(&s->health, core_now(c)) ? s : NULL;
}

static bool send_hedge(struct core *c, struct forward *f, enum hedge_reason why)
{
	const struct forward_attempt *first = &f->attempts[f->last_attempt];
	int64_t waited_ms = core_now(c) - first->sent_ms;
	struct hedge_budget *b = &front_of(c)->budget;
	struct site_server *s =
		hedge_budget_allows(b, core_now(c), (int)hedge_limit_percent(c),
				    why)
			? choose_hedge_server(c, f)
			: NULL;

	if (!s)
		return false;
	hedge_budget_take(b, core_now(c), (int)hedge_limit_percent(c), why);
	log_event(EV_FRONT_HEDGE,
		  "request=%s route=%s server=%s second=%s waited_ms=%lld "
		  "left_ms=%lld",
		  f->id, f->route, first->server_id, s->entry.id,
		  (long long)waited_ms,
		  (long long)(f->deadline_ms - core_now(c)));
	metric_add(M_WORK_HEDGES, 1);
	return forward_send_to(c, f, s) == ERR_OK;
}

static bool hedge_if_due(struct core *c, struct forward *f)
{
	const struct hedge_request ask = {
		.idempotent = f->kind == SITE_IDEMPOTENT,
		.overdue_at_ms = f->attempts[f->last_attempt].expected_by_ms,
		.usual_ms = response_times_median_ms(
			service_times(front_of(c), f->service)),
		.came_ms = f->arrived_ms,
		.until_ms = f->deadline_ms,
		.running = forward_running(f),
		.tried = f->n_tried,
		.max_servers = f->max_servers,
	};

	return hedge_due(&ask, core_now(c)) && site_mod_may_start_work(c) &&
	       send_hedge(c, f, hedge_reason_of(&ask, core_now(c)));
}

/* The servers in use are recorded as bad once the last attempt is late and no hedged
 * attempt is sent: a hedged attempt gets time to show whether other servers answer. */
void forward_hedge_step(struct core *c, struct forward *f)
{
	if (!f->may_hedge ||
	    core_now(c) < f->attempts[f->last_attempt].expected_by_ms ||
	    hedge_if_due(c, f))
		return;
	for (int i = 0; i < FORWARD_MAX_IN_FLIGHT; i++) {
		if (f->attempts[i].fetch)
			forward_hedge_outcome(c, f, &f->attempts[i],
					      SITE_CALL_BAD);
	}
}
