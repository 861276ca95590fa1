// Rounds of the collector: read the stored value, merge, write.
#include "usage/collect.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
	CALL_TIMEOUT_MS = 10000, ///< timeout of a store call
	VERIFY_INTERVAL_MS = 30000, ///< longest time between reads
};

static void end_round(struct usage_collect *c, int64_t now)
{
	c->state = USAGE_COLLECT_IDLE;
	c->next_ms = now + c->interval_ms;
}

void usage_collect_tick(struct usage_collect *c, int64_t now, bool is_collector)
{
	if (c->state != USAGE_COLLECT_IDLE &&
	    now - c->call_start_ms > CALL_TIMEOUT_MS)
		end_round(c, now);
	if (!is_collector || c->state != USAGE_COLLECT_IDLE || now < c->next_ms)
		return;
	if (c->stored_version == c->counters->version && now < c->verify_ms)
		return;
	c->verify_ms = now + VERIFY_INTERVAL_MS;
	c->state = USAGE_COLLECT_READ;
	c->call_start_ms = now;
	c->call_id++;
	c->ops->get(c->ctx);
}

/// Write the counters unless the stored value is equal.
///
/// @param kv  value that was read
static void write_counters(struct usage_collect *c, int64_t now,
			   const struct usage_kv *kv)
{
	json_t *j = usage_counters_to_json(c->counters);
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;
	uint64_t prev_rev = kv->err ? 0 : kv->rev;

	json_decref(j);
	if (text && !kv->err && strlen(text) == kv->len &&
	    memcmp(text, kv->text, kv->len) == 0) {
		c->stored_version = c->counters->version;
		free(text);
		text = NULL;
	}
	if (!text) {
		end_round(c, now);
		return;
	}
	c->state = USAGE_COLLECT_WRITE;
	c->writing_version = c->counters->version;
	c->call_start_ms = now;
	c->call_id++;
	c->ops->put(c->ctx, text, strlen(text), prev_rev);
	free(text);
}

static void on_read(struct usage_collect *c, int64_t now,
		    const struct usage_kv *kv)
{
	json_t *j;
	enum err e;

	if (kv->err == ERR_NOT_FOUND) {
		write_counters(c, now, kv);
		return;
	}
	if (kv->err) {
		end_round(c, now);
		return;
	}
	j = json_loadb(kv->text, kv->len, JSON_REJECT_DUPLICATES, NULL);
	e = j ? usage_counters_merge_json(c->counters, j) : ERR_PARSE;
	json_decref(j);
	if (e) {
		c->ops->bad(c->ctx, e);
		end_round(c, now);
		return;
	}
	write_counters(c, now, kv);
}

void usage_collect_on_kv(struct usage_collect *c, int64_t now,
			 const struct usage_kv *kv)
{
	if (c->state == USAGE_COLLECT_READ) {
		on_read(c, now, kv);
		return;
	}
	if (c->state != USAGE_COLLECT_WRITE)
		return;
	if (!kv->err)
		c->stored_version = c->writing_version;
	end_round(c, now);
}
