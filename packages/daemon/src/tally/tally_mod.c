// Counts requests by team and window, and writes this node's counts to the store.
#include "tally/tally.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/table_full.h"
#include "core/settings.h"
#include "daemon/mods.h"
#include "daemon/tally_mod.h"
#include "store_keys.h"

enum {
	/// Delay after a window's end, so that outstanding answers still count.
	TALLY_WRITE_DELAY_MS = 400,
	TALLY_RETRY_MS = 300,
};

static struct tally *tally_of(const struct core *c)
{
	return core_mod_state(c, MOD_TALLY);
}

/* Entry for a new window: a free one, or the oldest of those that no call writes now. */
static struct tally_window *window_to_reuse(struct tally *t)
{
	struct tally_window *reuse = NULL;

	for (int i = 0; i < TALLY_WINDOWS_MAX; i++) {
		struct tally_window *w = &t->windows[i];

		if (!w->counts)
			return w;
		if (!w->call_outstanding &&
		    (!reuse || w->number < reuse->number))
			reuse = w;
	}
	return reuse;
}

/* Counts of a window, added at its first request.
 *
 * @return NULL if all entries are being written */
static struct tally_window *window_get(struct tally *t, int64_t number)
{
	struct tally_window *reuse;

	for (int i = 0; i < TALLY_WINDOWS_MAX; i++) {
		if (t->windows[i].counts && t->windows[i].number == number)
			return &t->windows[i];
	}
	reuse = window_to_reuse(t);
	if (!reuse)
		return NULL;
	if (reuse->dirty)
		log_event(EV_TALLY_UNREPORTED, "window=%lld teams=%zu error=%s",
			  (long long)reuse->number,
			  json_object_size(reuse->counts), err_code(ERR_FULL));
	json_decref(reuse->counts);
	*reuse = (struct tally_window){
		.number = number,
		.counts = json_object(),
	};
	return reuse;
}

void tally_mod_count_request(struct core *c, const char *team, int64_t wall_ms)
{
	struct tally *t = tally_of(c);
	struct tally_window *w = window_get(t, wall_ms / t->window_ms);
	json_int_t n;

	if (!*team)
		return;
	if (!w || !w->counts) {
		table_full("usage-windows", team, TALLY_WINDOWS_MAX);
		return;
	}
	n = json_integer_value(json_object_get(w->counts, team));
	json_object_set_new(w->counts, team, json_integer(n + 1));
	w->dirty = true;
}

static void on_written(struct core *c, void *ctx, const struct kv_result *res)
{
	struct tally_window *w = ctx;

	w->call_outstanding = false;
	w->next_call_ms = core_now(c) + TALLY_RETRY_MS;
	if (res->err == ERR_OK) {
		w->rev = res->rev;
		return;
	}
	w->dirty = true;
	/* An earlier write whose answer was lost may have created the key. */
	w->must_read_rev = res->err == ERR_KV_CONFLICT;
}

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct tally_window *w = ctx;

	w->call_outstanding = false;
	w->next_call_ms = core_now(c) + TALLY_RETRY_MS;
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND)
		return;
	w->rev = res->n_items ? res->items[0].rev : 0;
	w->must_read_rev = false;
	w->next_call_ms = 0;
}

static void write_window(struct core *c, struct tally_window *w)
{
	char *text = json_dumps(w->counts, JSON_COMPACT);
	char key[STORE_KEY_SIZE];
	const struct kv_put_opts put = {
		.key = key,
		.value = text,
		.len = text ? strlen(text) : 0,
		.prev_rev = w->rev,
	};

	snprintf(key, sizeof(key), KEY_TALLY "%lld/%s.%s", (long long)w->number,
		 core_node(c), core_incarnation(c));
	if (w->must_read_rev) {
		w->call_outstanding =
			kv_get(c, key, (struct kv_cb){on_read, w}) == ERR_OK;
	} else if (text) {
		w->call_outstanding =
			kv_put(c, &put, (struct kv_cb){on_written, w}) ==
			ERR_OK;
		w->dirty = !w->call_outstanding;
	}
	if (!w->call_outstanding)
		w->next_call_ms = core_now(c) + TALLY_RETRY_MS;
	free(text);
}

static void write_due(struct core *c, struct tally *t, int64_t wall_ms)
{
	for (int i = 0; i < TALLY_WINDOWS_MAX; i++) {
		struct tally_window *w = &t->windows[i];
		int64_t end_ms = (w->number + 1) * t->window_ms;

		if (w->counts && w->dirty && !w->call_outstanding &&
		    (core_draining(c) ||
		     wall_ms >= end_ms + TALLY_WRITE_DELAY_MS) &&
		    core_now(c) >= w->next_call_ms)
			write_window(c, w);
	}
}

static void tally_tick(struct core *c, void *state, int64_t now_ms)
{
	struct tally *t = state;
	int64_t wall_ms = clock_wall_ms();

	write_due(c, t, wall_ms);
	tally_report_step(c, t, wall_ms);
}

static enum err tally_start(struct core *c, void **state)
{
	struct tally *t = calloc(1, sizeof(*t));

	if (!t)
		return ERR_NOMEM;
	t->window_ms = settings_int(core_settings(c), S_TALLY_WINDOW);
	t->settle_ms = settings_int(core_settings(c), S_TALLY_SETTLE);
	*state = t;
	return ERR_OK;
}

static bool tally_idle(struct core *c, void *state)
{
	const struct tally *t = state;

	for (int i = 0; i < TALLY_WINDOWS_MAX; i++) {
		if (t->windows[i].dirty || t->windows[i].call_outstanding)
			return false;
	}
	return true;
}

static void tally_stop(struct core *c, void *state)
{
	struct tally *t = state;

	for (int i = 0; i < TALLY_WINDOWS_MAX; i++)
		json_decref(t->windows[i].counts);
	tally_report_free(&t->report);
	free(t);
}

const struct core_mod_ops tally_mod_ops = {
	.name = "tally",
	.start = tally_start,
	.tick = tally_tick,
	.idle = tally_idle,
	.stop = tally_stop,
};
