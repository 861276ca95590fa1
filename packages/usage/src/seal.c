// Steps of sealing and reporting. Any failed step restarts with reading the
// head, so there is a single recovery path.
#include "usage/seal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "record.h"

enum {
	BACKOFF_MS = 500, ///< delay before a restart
	CALL_TIMEOUT_MS = 90000, ///< timeout of a call
};

void usage_window_key(uint64_t window, char *buf)
{
	snprintf(buf, USAGE_KEY_MAX, "usage/window/%llu",
		 (unsigned long long)window);
}

static void back_off(struct usage_seal *s, int64_t now)
{
	s->state = USAGE_SEAL_BACKOFF;
	s->retry_ms = now + BACKOFF_MS;
	s->call_id++;
}

static void free_record(struct usage_seal *s)
{
	json_decref(s->record);
	s->record = NULL;
}

void usage_seal_begin(struct usage_seal *s, int64_t now, uint64_t epoch)
{
	s->epoch = epoch;
	back_off(s, now);
	s->retry_ms = now;
}

void usage_seal_end(struct usage_seal *s)
{
	s->state = USAGE_SEAL_OFF;
	s->call_id++;
	free_record(s);
	usage_counters_clear(&s->counters);
}

static void call_begin(struct usage_seal *s, int64_t now,
		       enum usage_seal_state state)
{
	s->state = state;
	s->call_start_ms = now;
	s->call_id++;
}

static void call_get(struct usage_seal *s, int64_t now,
		     enum usage_seal_state state, const char *key)
{
	call_begin(s, now, state);
	s->ops->get(s->ctx, key);
}

static void read_window(struct usage_seal *s, int64_t now,
			enum usage_seal_state state, uint64_t window)
{
	char key[USAGE_KEY_MAX];

	usage_window_key(window, key);
	call_get(s, now, state, key);
}

static void read_head(struct usage_seal *s, int64_t now)
{
	free_record(s);
	call_get(s, now, USAGE_SEAL_READ_HEAD, USAGE_HEAD_KEY);
}

static void list_counters(struct usage_seal *s, int64_t now, int64_t wall_ms)
{
	usage_counters_clear(&s->counters);
	call_begin(s, now, USAGE_SEAL_LIST_COUNTERS);
	s->window_end_ms = wall_ms;
	s->ops->list(s->ctx);
}

static bool call_outstanding(const struct usage_seal *s)
{
	return s->state != USAGE_SEAL_OFF && s->state != USAGE_SEAL_BACKOFF &&
	       s->state != USAGE_SEAL_WAIT_WINDOW;
}

void usage_seal_tick(struct usage_seal *s, int64_t now, int64_t wall_ms,
		     int64_t window_ms)
{
	if (call_outstanding(s) && now - s->call_start_ms > CALL_TIMEOUT_MS)
		back_off(s, now);
	if (s->state == USAGE_SEAL_BACKOFF && now >= s->retry_ms)
		read_head(s, now);
	if (s->state == USAGE_SEAL_WAIT_WINDOW &&
	    wall_ms >= record_end(s->record) + window_ms)
		list_counters(s, now, wall_ms);
}

static void send_report(struct usage_seal *s, int64_t now)
{
	char *body = record_report(s->record, s->epoch);

	if (!body) {
		back_off(s, now);
		return;
	}
	call_begin(s, now, USAGE_SEAL_SEND_REPORT);
	s->ops->send(s->ctx, body, strlen(body));
	free(body);
}

static void on_head_read(struct usage_seal *s, int64_t now,
			 const struct usage_kv *kv)
{
	if (kv->err && kv->err != ERR_NOT_FOUND) {
		back_off(s, now);
		return;
	}
	s->head_rev = kv->err ? 0 : kv->rev;
	s->reported = 0;
	if (!kv->err && !record_head_read(kv->text, kv->len, &s->reported)) {
		s->ops->bad(s->ctx, USAGE_HEAD_KEY, ERR_PARSE);
		back_off(s, now);
		return;
	}
	s->window = s->reported + 1;
	read_window(s, now, USAGE_SEAL_READ_NEXT, s->window);
}

/// Decode the record that was read; if invalid, restart after a delay.
static bool load_record(struct usage_seal *s, int64_t now,
			const struct usage_kv *kv)
{
	char key[USAGE_KEY_MAX];

	free_record(s);
	s->record = record_read(kv->text, kv->len, s->window);
	if (s->record)
		return true;
	usage_window_key(s->window, key);
	s->ops->bad(s->ctx, key, ERR_PARSE);
	back_off(s, now);
	return false;
}

/// All sealed windows are reported: the last record is the base of the next
/// one.
static void on_all_reported(struct usage_seal *s, int64_t now)
{
	s->window = s->reported;
	if (s->reported > 0) {
		read_window(s, now, USAGE_SEAL_READ_LAST, s->reported);
		return;
	}
	s->record = record_initial();
	s->state = USAGE_SEAL_WAIT_WINDOW;
}

static void on_next_read(struct usage_seal *s, int64_t now,
			 const struct usage_kv *kv)
{
	if (kv->err == ERR_NOT_FOUND)
		on_all_reported(s, now);
	else if (kv->err)
		back_off(s, now);
	else if (load_record(s, now, kv))
		send_report(s, now);
}

static void on_last_read(struct usage_seal *s, int64_t now,
			 const struct usage_kv *kv)
{
	if (kv->err)
		back_off(s, now);
	else if (load_record(s, now, kv))
		s->state = USAGE_SEAL_WAIT_WINDOW;
}

static void delete_old_record(struct usage_seal *s)
{
	char key[USAGE_KEY_MAX];

	if (s->reported <= USAGE_RETAINED_WINDOWS)
		return;
	usage_window_key(s->reported - USAGE_RETAINED_WINDOWS, key);
	s->ops->del(s->ctx, key);
}

static void on_head_written(struct usage_seal *s, int64_t now,
			    const struct usage_kv *kv)
{
	if (kv->err) {
		back_off(s, now);
		return;
	}
	s->reported = s->window;
	s->ops->reported(s->ctx, s->window);
	delete_old_record(s);
	read_head(s, now);
}

static void on_record_created(struct usage_seal *s, int64_t now,
			      const struct usage_kv *kv)
{
	if (kv->err)
		back_off(s, now); /* the stored record is authoritative */
	else
		read_head(s, now);
}

void usage_seal_on_kv(struct usage_seal *s, int64_t now,
		      const struct usage_kv *kv)
{
	switch (s->state) {
	case USAGE_SEAL_READ_HEAD:
		on_head_read(s, now, kv);
		break;
	case USAGE_SEAL_READ_NEXT:
		on_next_read(s, now, kv);
		break;
	case USAGE_SEAL_READ_LAST:
		on_last_read(s, now, kv);
		break;
	case USAGE_SEAL_WRITE_HEAD:
		on_head_written(s, now, kv);
		break;
	case USAGE_SEAL_CREATE_RECORD:
		on_record_created(s, now, kv);
		break;
	default:
		break;
	}
}

void usage_seal_on_item(struct usage_seal *s, const char *key, const char *text,
			size_t len)
{
	json_t *j;
	enum err e;

	if (s->state != USAGE_SEAL_LIST_COUNTERS)
		return;
	j = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	e = j ? usage_counters_merge_json(&s->counters, j) : ERR_PARSE;
	json_decref(j);
	if (!e)
		return;
	s->ops->bad(s->ctx, key, e);
	s->state = USAGE_SEAL_BACKOFF; /* the totals would lack this part */
	s->retry_ms = s->call_start_ms + CALL_TIMEOUT_MS;
}

void usage_seal_on_listed(struct usage_seal *s, int64_t now, enum err e)
{
	char key[USAGE_KEY_MAX];
	char *text;

	if (s->state != USAGE_SEAL_LIST_COUNTERS)
		return;
	if (e) {
		back_off(s, now);
		return;
	}
	usage_window_key(s->window + 1, key);
	text = record_next(s->record, s->window + 1, &s->counters,
			   s->window_end_ms);
	usage_counters_clear(&s->counters);
	if (!text) {
		s->ops->bad(s->ctx, key, ERR_USAGE_SHRANK);
		back_off(s, now);
		return;
	}
	call_begin(s, now, USAGE_SEAL_CREATE_RECORD);
	s->ops->put(s->ctx, key, text, strlen(text), 0);
	free(text);
}

void usage_seal_on_sent(struct usage_seal *s, int64_t now, int status)
{
	char key[USAGE_KEY_MAX];
	char text[64];

	if (s->state != USAGE_SEAL_SEND_REPORT)
		return;
	if (status != 200) {
		usage_window_key(s->window, key);
		if (status >= 400 && status < 500)
			s->ops->bad(s->ctx, key, ERR_USAGE_REFUSED);
		back_off(s, now);
		return;
	}
	snprintf(text, sizeof(text), "{\"reported\":%llu}",
		 (unsigned long long)s->window);
	call_begin(s, now, USAGE_SEAL_WRITE_HEAD);
	s->ops->put(s->ctx, USAGE_HEAD_KEY, text, strlen(text), s->head_rev);
}
