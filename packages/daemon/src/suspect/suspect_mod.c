// Shares the evidence against requests under which servers ended. Each node tells the
// homes what broke off; a home that bars a request tells all nodes, and repeats it in
// reply to hellos. Nothing is sent while no connection breaks off.
#include "daemon/suspect_mod.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/mods.h"
#include "daemon/site_mod.h"
#include "suspect/suspect.h"
#include "suspect/suspect_msg.h"
#include "suspect/suspect_state.h"
#include "suspect/trial.h"

enum {
	TELL_INTERVAL_MS =
		30000, ///< between two notices that a request still comes
	SUSPECT_ID_CHARS = 33, ///< hexadecimal digits of an identity, with NUL
};

static struct suspects *suspects_of(struct core *c)
{
	struct suspect_state *s = core_mod_state(c, MOD_SUSPECT);

	return s->table;
}

static bool is_home(struct core *c, size_t *n, const struct site_node **homes)
{
	*homes = site_mod_homes(c, n);
	for (size_t i = 0; i < *n; i++) {
		if (strcmp((*homes)[i].node, core_node(c)) == 0)
			return true;
	}
	return false;
}

static void send_to(struct core *c, const char *node,
		    const msgpack_sbuffer *buf)
{
	if (core_peer_send(c, node, PEER_SUSPECT_NEWS, buf->data, buf->size) !=
	    ERR_OK)
		metric_add(M_PEER_DROPPED, 1);
}

/* Tell the other homes, and as a home all nodes if it changes what they do. */
static void tell(struct core *c, const struct suspect_news *news)
{
	const struct site_node *homes;
	size_t n;
	bool all = is_home(c, &n, &homes) &&
		   (news->kind == SUSPECT_NEWS_BARRED ||
		    news->kind == SUSPECT_NEWS_CONFIRMED ||
		    news->kind == SUSPECT_NEWS_CLEARED);
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	suspect_msg_pack(&buf, news, 1);
	if (all)
		core_peer_broadcast(c, PEER_SUSPECT_NEWS, buf.data, buf.size);
	for (size_t i = 0; !all && i < n; i++) {
		if (core_peer_add(c, homes[i].node, homes[i].peer) == ERR_OK)
			send_to(c, homes[i].node, &buf);
	}
	msgpack_sbuffer_destroy(&buf);
}

static struct suspect_news barred_news(struct core *c,
				       const struct suspect_entry *e)
{
	return (struct suspect_news){
		.kind = SUSPECT_NEWS_BARRED,
		.id = e->id,
		.server = "",
		.age_ms = core_now(c) - e->barred_ms,
		.seen_age_ms = core_now(c) - e->seen_ms,
	};
}

static void log_barred(const struct suspect_entry *e, const char *from)
{
	char servers[SUSPECT_SERVERS * (SUSPECT_SERVER_ID + 1)] = "";
	size_t len = 0;

	for (int i = 0; i < e->n_servers; i++)
		len += (size_t)snprintf(servers + len, sizeof(servers) - len,
					"%s%s", i ? "," : "", e->servers[i].id);
	metric_add(M_SUSPECT_BARRED, 1);
	log_event(EV_SUSPECT_BARRED,
		  "identity=%016" PRIx64 "%016" PRIx64 " from=%s servers=%s",
		  e->id.high, e->id.low, from, len ? servers : "-");
}

static void log_cleared(struct suspect_id id, const char *from)
{
	log_event(EV_SUSPECT_CLEARED,
		  "identity=%016" PRIx64 "%016" PRIx64 " from=%s", id.high,
		  id.low, from);
}

/* Tell what changes the refusals of a request. */
static void record_change(struct core *c, const struct suspect_entry *e,
			  enum suspect_change change, const char *from)
{
	struct suspect_news news = barred_news(c, e);

	if (e->confirmed)
		log_event(EV_SUSPECT_CONFIRMED,
			  "identity=%016" PRIx64 "%016" PRIx64
			  " from=%s last_trial=%d",
			  e->id.high, e->id.low, from, e->last_trial);
	if (change == SUSPECT_BARRED) {
		log_barred(e, from);
		tell(c, &news);
	}
	news.kind = SUSPECT_NEWS_CONFIRMED;
	news.started_ms = (uint64_t)e->last_trial;
	if (e->confirmed)
		tell(c, &news);
}

/* Record that a request broke off, by this node or another. */
static void record_ended(struct core *c, struct suspect_id id,
			 const char *server, int64_t started_ms,
			 int64_t sent_ms, const char *from)
{
	enum suspect_change change = suspects_ended(
		suspects_of(c), core_now(c), id, server, started_ms, sent_ms);
	const struct suspect_entry *e =
		suspects_find(suspects_of(c), core_now(c), id);

	if (change == SUSPECT_SAME || !e)
		return;
	log_event(EV_SUSPECT_COUNTED,
		  "identity=%016" PRIx64 "%016" PRIx64
		  " server=%s servers=%d from=%s",
		  id.high, id.low, server, e->n_servers, from);
	if (change == SUSPECT_BARRED || change == SUSPECT_CONFIRMED)
		record_change(c, e, change, from);
}

void suspect_mod_ended(struct core *c, struct suspect_id id, const char *server,
		       int64_t started_ms, int64_t sent_ms)
{
	const struct suspect_news news = {
		.kind = SUSPECT_NEWS_ENDED,
		.id = id,
		.server = server,
		.started_ms = (uint64_t)started_ms,
		.age_ms = core_now(c) - sent_ms,
	};
	const struct suspect_entry *e;

	if (suspects_answered_lately(suspects_of(c), core_now(c), id))
		return;
	tell(c, &news);
	record_ended(c, id, server, started_ms, sent_ms, "self");
	e = suspects_find(suspects_of(c), core_now(c), id);
	if (e && e->confirmed)
		trial_mark_ended(c, id, e->last_trial);
}

/* Requests that a home no longer bars: all nodes are told. */
static void record_outlived(struct core *c, const struct suspect_news *news,
			    int64_t sent_ms, const char *from, bool *known)
{
	struct suspect_id changed[SUSPECT_SERVERS];
	size_t n = suspects_outlived(suspects_of(c), news->server,
				     (int64_t)news->started_ms, sent_ms,
				     changed, SUSPECT_SERVERS, known);

	for (size_t i = 0; i < n; i++) {
		const struct suspect_news cleared = {
			.kind = SUSPECT_NEWS_CLEARED,
			.id = changed[i],
			.server = "",
		};

		log_cleared(changed[i], from);
		tell(c, &cleared);
	}
}

static void record_cleared(struct core *c, struct suspect_id id,
			   enum suspect_change change, const char *from)
{
	const struct suspect_news news = {
		.kind = SUSPECT_NEWS_CLEARED,
		.id = id,
		.server = "",
	};

	if (change != SUSPECT_CLEARED)
		return;
	log_cleared(id, from);
	tell(c, &news);
}

void suspect_mod_answered(struct core *c, struct suspect_id id,
			  const char *server, int64_t started_ms,
			  int64_t sent_ms)
{
	const struct suspect_news news = {
		.kind = SUSPECT_NEWS_OUTLIVED,
		.server = server,
		.started_ms = (uint64_t)started_ms,
		.age_ms = core_now(c) - sent_ms,
	};
	bool known;

	trial_give_back(c, id);
	record_cleared(c, id,
		       suspects_answered(suspects_of(c), core_now(c), id),
		       "answer");
	record_outlived(c, &news, sent_ms, "answer", &known);
	if (known)
		tell(c, &news);
}

bool suspect_mod_may_retry(struct core *c, struct suspect_id id)
{
	return suspects_may_retry(suspects_of(c), core_now(c), id);
}

static void tell_that_it_comes(struct core *c, struct suspect_id id)
{
	struct suspect_entry *e =
		suspects_find(suspects_of(c), core_now(c), id);
	struct suspect_news news;

	if (!e || (e->told_ms && core_now(c) - e->told_ms < TELL_INTERVAL_MS))
		return;
	e->told_ms = core_now(c);
	news = barred_news(c, e);
	tell(c, &news);
}

enum suspect_verdict suspect_mod_verdict(struct core *c, struct suspect_id id,
					 htab_handle owner, int64_t *wait_ms)
{
	enum suspect_verdict v =
		suspects_verdict(suspects_of(c), core_now(c), id, wait_ms);

	if (v == SUSPECT_SEND)
		return v;
	tell_that_it_comes(c, id);
	if (trial_is_for(c, id, owner))
		return SUSPECT_TRY;
	if (v != SUSPECT_TRY)
		metric_add(M_SUSPECT_REFUSED, 1);
	return v;
}

bool suspect_mod_try(struct core *c, struct suspect_id id, htab_handle owner)
{
	const struct suspect_entry *e =
		suspects_find(suspects_of(c), core_now(c), id);

	return e && trial_take(c, e, owner);
}

bool suspect_mod_refused(struct core *c, struct suspect_id id)
{
	const struct suspect_entry *e =
		suspects_find(suspects_of(c), core_now(c), id);

	return e && e->barred_ms && e->confirmed;
}

void suspect_mod_trial_unused(struct core *c, struct suspect_id id)
{
	if (trial_give_back(c, id))
		suspects_trial_unused(suspects_of(c), core_now(c), id);
}

static void send_news(struct core *c, const char *node,
		      const struct suspect_news *list, size_t n)
{
	msgpack_sbuffer buf;

	if (!n)
		return;
	msgpack_sbuffer_init(&buf);
	suspect_msg_pack(&buf, list, n);
	send_to(c, node, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void suspect_mod_send_state(struct core *c, const char *node)
{
	struct suspect_news barred[SUSPECT_MSG_NEWS_MAX];
	struct suspect_news confirmed[SUSPECT_MSG_NEWS_MAX];
	struct suspect_entry *e;
	size_t iter = 0;
	size_t n = 0;
	size_t n_confirmed = 0;

	while ((e = suspects_next(suspects_of(c), &iter))) {
		if (!e->barred_ms)
			continue;
		if (n == SUSPECT_MSG_NEWS_MAX) {
			send_news(c, node, barred, n);
			send_news(c, node, confirmed, n_confirmed);
			n = 0;
			n_confirmed = 0;
		}
		barred[n] = barred_news(c, e);
		if (e->confirmed) {
			confirmed[n_confirmed] = barred[n];
			confirmed[n_confirmed].started_ms =
				(uint64_t)e->last_trial;
			confirmed[n_confirmed++].kind = SUSPECT_NEWS_CONFIRMED;
		}
		n++;
	}
	send_news(c, node, barred, n);
	send_news(c, node, confirmed, n_confirmed);
}

static void apply_barred(struct core *c, const char *from,
			 const struct suspect_news *news)
{
	const struct suspect_news cleared = {
		.kind = SUSPECT_NEWS_CLEARED,
		.id = news->id,
		.server = "",
	};
	const struct suspect_entry *e;

	/* Answers are known where they were passed on, not at the homes. */
	if (suspects_answered_lately(suspects_of(c), core_now(c), news->id)) {
		tell(c, &cleared);
		return;
	}
	if (suspects_set_barred(suspects_of(c), core_now(c), news->id,
				core_now(c) - news->age_ms,
				core_now(c) - news->seen_age_ms) !=
	    SUSPECT_BARRED)
		return;
	e = suspects_find(suspects_of(c), core_now(c), news->id);
	if (e)
		log_barred(e, from);
}

void suspect_confirm(struct core *c, struct suspect_id id, int last_trial,
		     const char *from)
{
	enum suspect_change change =
		suspects_confirm(suspects_of(c), core_now(c), id, last_trial);
	const struct suspect_entry *e =
		suspects_find(suspects_of(c), core_now(c), id);

	if (change == SUSPECT_CONFIRMED && e)
		record_change(c, e, change, from);
}

static void apply_news(struct core *c, const char *from,
		       const struct suspect_news *news)
{
	bool known;

	switch (news->kind) {
	case SUSPECT_NEWS_ENDED:
		record_ended(c, news->id, news->server,
			     (int64_t)news->started_ms,
			     core_now(c) - news->age_ms, from);
		break;
	case SUSPECT_NEWS_OUTLIVED:
		record_outlived(c, news, core_now(c) - news->age_ms, from,
				&known);
		break;
	case SUSPECT_NEWS_CLEARED:
		record_cleared(
			c, news->id,
			suspects_clear(suspects_of(c), core_now(c), news->id),
			from);
		break;
	case SUSPECT_NEWS_BARRED:
		apply_barred(c, from, news);
		break;
	case SUSPECT_NEWS_CONFIRMED:
		if (news->started_ms <= INT32_MAX)
			suspect_confirm(c, news->id, (int)news->started_ms,
					from);
		break;
	case SUSPECT_NEWS_KINDS:
		break;
	}
}

static void on_news(struct core *c, void *ctx, const char *from,
		    const void *buf, size_t len)
{
	struct suspect_news list[SUSPECT_MSG_NEWS_MAX];
	struct arena a;
	size_t n = 0;

	arena_init(&a, 0);
	if (suspect_msg_read(buf, len, &a, list, &n) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		n = 0;
	}
	for (size_t i = 0; i < n; i++)
		apply_news(c, from, &list[i]);
	arena_free(&a);
}

static void id_text(struct suspect_id id, char out[SUSPECT_ID_CHARS])
{
	snprintf(out, SUSPECT_ID_CHARS, "%016" PRIx64 "%016" PRIx64, id.high,
		 id.low);
}

static void on_list(struct core *c, struct core_req *r, void *ctx)
{
	json_t *list = json_array();
	struct suspect_entry *e;
	size_t iter = 0;

	while ((e = suspects_next(suspects_of(c), &iter))) {
		json_t *servers = json_array();
		char id[SUSPECT_ID_CHARS];

		for (int i = 0; i < e->n_servers; i++)
			json_array_append_new(servers,
					      json_string(e->servers[i].id));
		id_text(e->id, id);
		json_array_append_new(
			list,
			json_pack("{s:s,s:b,s:b,s:i,s:o,s:I}", "identity", id,
				  "barred", e->barred_ms != 0, "confirmed",
				  e->confirmed, "trials", e->trials, "servers",
				  servers, "seen_ms",
				  (json_int_t)(core_now(c) - e->seen_ms)));
	}
	core_reply_json(c, r->h, 200, json_pack("{s:o}", "suspects", list));
}

static void on_clear(struct core *c, struct core_req *r, void *ctx)
{
	const char *text = core_req_query(r, "identity");
	struct suspect_id id = {0, 0};
	enum suspect_change change;
	int end = 0;

	if (!text ||
	    sscanf(text, "%16" SCNx64 "%16" SCNx64 "%n", &id.high, &id.low,
		   &end) != 2 ||
	    text[end] || end != SUSPECT_ID_CHARS - 1) {
		core_reply_err(c, r->h, ERR_INVALID, RUN_NO, 0, "identity");
		return;
	}
	change = suspects_clear(suspects_of(c), core_now(c), id);
	record_cleared(c, id, change, "operator");
	if (change == SUSPECT_CLEARED)
		core_reply_json(c, r->h, 200, json_pack("{s:b}", "cleared", 1));
	else
		core_reply_err(c, r->h, ERR_NOT_FOUND, RUN_NO, 0, "identity");
}

static enum err suspect_start(struct core *c, void **state)
{
	static const struct core_route_opts list = {
		.listener = CORE_LISTENER_ADMIN,
		.method = "GET",
		.prefix = "/admin/suspects",
		.fn = on_list,
	};
	static const struct core_route_opts clear = {
		.listener = CORE_LISTENER_ADMIN,
		.method = "POST",
		.prefix = "/admin/suspects/clear",
		.fn = on_clear,
	};
	struct suspect_state *s = calloc(1, sizeof(*s));
	enum err e;

	*state = s;
	if (!s)
		return ERR_NOMEM;
	s->table = suspects_new();
	s->trials = trials_new();
	if (!s->table || !s->trials)
		return ERR_NOMEM;
	e = core_route(c, &list);
	if (e == ERR_OK)
		e = core_route(c, &clear);
	return e == ERR_OK ? core_peer_on(c, PEER_SUSPECT_NEWS, on_news, NULL)
			   : e;
}

static void suspect_stop(struct core *c, void *state)
{
	struct suspect_state *s = state;

	if (!s)
		return;
	suspects_free(s->table);
	trials_free(s->trials);
	free(s);
}

const struct core_mod_ops suspect_mod_ops = {
	.name = "suspect",
	.start = suspect_start,
	.stop = suspect_stop,
};
