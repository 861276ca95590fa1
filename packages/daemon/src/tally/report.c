// The leader sums up a window's usage, makes the figures final in the store and
// reports them to the platform.
//
// Creating one key makes the figures final. Reports are made from that key's bytes alone:
// after a lost answer and by a later leader they are the same.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon/lead_mod.h"
#include "lead/lead_call.h"
#include "store_keys.h"
#include "tally/tally.h"
#include "wire/wire.h"

enum {
	REPORT_RETRY_MS = 400,
	/// Past windows that a new leader reports: more than pass without a leader.
	/// A window reported before is reported again, unchanged. A leader that goes on
	/// reports every window since its last one.
	REPORT_LOOKBACK_WINDOWS = 8,
};

static struct tally_report *report_of(const struct core *c)
{
	struct tally *t = core_mod_state(c, MOD_TALLY);

	return &t->report;
}

static void report_set_step(struct core *c, struct tally_report *r,
			    enum report_step step, int64_t wait_ms)
{
	r->call_outstanding = false;
	r->step = step;
	r->next_call_ms = core_now(c) + wait_ms;
}

static void report_done(struct core *c, struct tally_report *r)
{
	r->window++;
	report_set_step(c, r, REPORT_IDLE, 0);
}

/* Gives a window up that can't be reported, so that the next ones can. */
static void report_skip(struct core *c, struct tally_report *r, enum err e)
{
	log_event(EV_TALLY_UNREPORTED, "window=%lld epoch=%llu error=%s",
		  (long long)r->window, (unsigned long long)r->epoch,
		  err_code(e));
	report_done(c, r);
}

void tally_report_free(struct tally_report *r)
{
	json_decref(r->sum);
	free(r->sealed);
	r->sum = NULL;
	r->sealed = NULL;
}

static void sum_item(struct tally_report *r, const struct kv_item *item)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const char *team;
	json_t *n;

	if (!obj)
		log_event(EV_TALLY_FAILED, "key=%s error=parse", item->key);
	json_object_foreach(obj, team, n) {
		json_int_t sum =
			json_integer_value(json_object_get(r->sum, team));

		json_object_set_new(r->sum, team,
				    json_integer(sum + json_integer_value(n)));
	}
	json_decref(obj);
}

static void on_listed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct tally_report *r = report_of(c);

	if (res->err != ERR_OK) {
		r->cursor[0] = '\0';
		report_set_step(c, r, REPORT_LIST, REPORT_RETRY_MS);
		return;
	}
	if (!r->cursor[0])
		json_object_clear(r->sum);
	for (size_t i = 0; i < res->n_items; i++)
		sum_item(r, &res->items[i]);
	if (res->more && res->n_items) {
		snprintf(r->cursor, sizeof(r->cursor), "%s",
			 res->items[res->n_items - 1].key);
		report_set_step(c, r, REPORT_LIST, 0);
		return;
	}
	r->cursor[0] = '\0';
	report_set_step(c, r, REPORT_FINALIZE, 0);
}

/* Whether the store refuses a value whenever it is written. */
static bool is_refused(enum err e)
{
	return e == ERR_TOO_LARGE || e == ERR_INVALID;
}

static void on_finalized(struct core *c, void *ctx, const struct kv_result *res)
{
	struct tally_report *r = report_of(c);

	if (res->err == ERR_OK)
		report_set_step(c, r, REPORT_SEND, 0);
	else if (is_refused(res->err))
		report_skip(c, r, res->err);
	else if (res->err == ERR_KV_CONFLICT || res->err == ERR_KV_UNKNOWN)
		report_set_step(c, r, REPORT_READ, 0);
	else
		report_set_step(c, r, REPORT_FINALIZE, REPORT_RETRY_MS);
}

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct tally_report *r = report_of(c);

	if (res->err == ERR_NOT_FOUND) {
		report_set_step(c, r, REPORT_FINALIZE, 0);
	} else if (res->err != ERR_OK) {
		report_set_step(c, r, REPORT_READ, REPORT_RETRY_MS);
	} else {
		free(r->sealed);
		r->sealed = strndup(res->items[0].value, res->items[0].len);
		report_set_step(c, r, r->sealed ? REPORT_SEND : REPORT_READ,
				r->sealed ? 0 : REPORT_RETRY_MS);
	}
}

static void on_sent(struct core *c, void *ctx,
		    const struct core_fetch_result *res)
{
	struct tally_report *r = report_of(c);
	bool ok = core_fetch_answered(res) && res->status / 100 == 2;

	log_event(ok ? EV_TALLY_REPORTED : EV_TALLY_FAILED,
		  "window=%lld epoch=%llu teams=%zu error=%s http=%d",
		  (long long)r->window, (unsigned long long)r->epoch, r->teams,
		  err_code(res->err), res->status);
	if (ok)
		report_done(c, r);
	else
		report_set_step(c, r, REPORT_SEND, REPORT_RETRY_MS);
}

/* @return one entry for each team, in the order of the sealed text; NULL when out of memory */
static struct duty_count *report_counts(json_t *figures, struct arena *a)
{
	struct duty_count *counts = arena_alloc(
		a, (json_object_size(figures) + 1) * sizeof(*counts));
	const char *team;
	json_t *n;
	size_t k = 0;

	if (!counts)
		return NULL;
	json_object_foreach(figures, team, n) {
		counts[k++] = (struct duty_count){
			.team = team,
			.requests = (uint64_t)json_integer_value(n),
		};
	}
	return counts;
}

static enum err report_send(struct core *c, struct tally_report *r)
{
	const struct duty_wire_ops *wire = core_wire(c)->duty;
	json_t *figures = json_loads(r->sealed, 0, NULL);
	struct duty_report rep = {
		.holder = core_node(c),
		.epoch = r->epoch,
		.window = r->window,
		.n = json_object_size(figures),
	};
	struct lead_call call = {
		.path = wire->report_path,
		.on_done = on_sent,
	};
	enum err e = ERR_PARSE;
	struct arena a;

	arena_init(&a, 0);
	r->teams = rep.n;
	if (json_is_object(figures)) {
		rep.counts = report_counts(figures, &a);
		call.headers =
			rep.counts ? wire->report(&rep, &a, &call.body) : NULL;
		e = lead_call_send(c, &call);
	}
	arena_free(&a);
	json_decref(figures);
	return e;
}

static enum err report_finalize(struct core *c, struct tally_report *r)
{
	char key[STORE_KEY_SIZE];
	struct kv_put_opts put = {.key = key};

	snprintf(key, sizeof(key), KEY_SEALED "%lld", (long long)r->window);
	free(r->sealed);
	r->sealed = json_dumps(r->sum, JSON_COMPACT | JSON_SORT_KEYS);
	if (!r->sealed)
		return ERR_NOMEM;
	put.value = r->sealed;
	put.len = strlen(r->sealed);
	return kv_put(c, &put, (struct kv_cb){on_finalized, NULL});
}

static enum err report_call(struct core *c, struct tally_report *r)
{
	char key[STORE_KEY_SIZE];

	switch (r->step) {
	case REPORT_LIST:
		snprintf(key, sizeof(key), KEY_TALLY "%lld/",
			 (long long)r->window);
		return kv_list_after(c, key, r->cursor[0] ? r->cursor : NULL,
				     (struct kv_cb){on_listed, NULL});
	case REPORT_FINALIZE:
		return report_finalize(c, r);
	case REPORT_READ:
		snprintf(key, sizeof(key), KEY_SEALED "%lld",
			 (long long)r->window);
		return kv_get(c, key, (struct kv_cb){on_read, NULL});
	case REPORT_SEND:
		return report_send(c, r);
	case REPORT_IDLE:
		break;
	}
	return ERR_CLOSED;
}

/* First window of a leadership. Without another leader in between this node goes on after
 * its last one. */
static int64_t first_window(const struct tally_report *r, uint64_t epoch,
			    int64_t newest_settled)
{
	int64_t lookback = epoch > 1 ? REPORT_LOOKBACK_WINDOWS : 1;

	if (r->window && (epoch == r->epoch || epoch == r->epoch + 1))
		return r->window;
	return newest_settled - lookback + 1;
}

/* Start the next window's report, settle_ms after its end. */
static void report_begin(struct tally *t, uint64_t epoch, int64_t wall_ms)
{
	struct tally_report *r = &t->report;
	int64_t newest_settled = (wall_ms - t->settle_ms) / t->window_ms - 1;

	if (!r->sum)
		r->sum = json_object();
	r->window = first_window(r, epoch, newest_settled);
	r->epoch = epoch;
	/* A list that ended with the last leadership is of another window. */
	r->cursor[0] = '\0';
	if (r->window <= newest_settled)
		r->step = REPORT_LIST;
}

/* @return whether a call is outstanding */
static bool report_call_begun(struct core *c, struct tally_report *r)
{
	enum err e = report_call(c, r);

	if (is_refused(e) || e == ERR_PARSE)
		report_skip(c, r, e);
	else if (e != ERR_OK)
		r->next_call_ms = core_now(c) + REPORT_RETRY_MS;
	return e == ERR_OK;
}

void tally_report_step(struct core *c, struct tally *t, int64_t wall_ms)
{
	struct tally_report *r = &t->report;
	uint64_t epoch;

	if (r->call_outstanding)
		return;
	if (!lead_mod_may_act(c, &epoch)) {
		r->step = REPORT_IDLE;
		return;
	}
	if (r->step != REPORT_IDLE && r->epoch != epoch)
		r->step = REPORT_IDLE;
	if (r->step == REPORT_IDLE)
		report_begin(t, epoch, wall_ms);
	if (r->step == REPORT_IDLE || core_now(c) < r->next_call_ms)
		return;
	r->call_outstanding = report_call_begun(c, r);
}
