// Steps of sealing and reporting. Any failed step restarts with reading the
// head, so there is a single recovery path.
#include "usage/seal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "record.h"

enum {
	PAUSE_MS = 500, ///< delay before a restart
	CALL_LOST_MS = 90000, ///< timeout of a call
};

void usage_window_key(uint64_t window, char *buf)
{
	snprintf(buf, USAGE_KEY_MAX, "usage/window/%llu",
		 (unsigned long long)window);
}

static void pause_seal(struct usage_seal *s, int64_t now)
{
	s->state = USAGE_SEAL_PAUSE;
	s->resume_ms = now + PAUSE_MS;
	s->call++;
}

static void drop_record(struct usage_seal *s)
{
	json_decref(s->record);
	s->record = NULL;
}

void usage_seal_begin(struct usage_seal *s, int64_t now, uint64_t epoch)
{
	s->epoch = epoch;
	pause_seal(s, now);
	s->resume_ms = now;
}

void usage_seal_end(struct usage_seal *s)
{
	s->state = USAGE_SEAL_OFF;
	s->call++;
	drop_record(s);
	usage_book_clear(&s->counters);
}

static void call_begin(struct usage_seal *s, int64_t now,
		       enum usage_seal_state state)
{
	s->state = state;
	s->asked_ms = now;
	s->call++;
}

static void call_get(struct usage_seal *s, int64_t now,
		     enum usage_seal_state state, const char *key)
{
	call_begin(s, now, state);
	s->ops->get(s->ctx, key);
}

static void get_window(struct usage_seal *s, int64_t now,
		       enum usage_seal_state state, uint64_t window)
{
	char key[USAGE_KEY_MAX];

	usage_window_key(window, key);
	call_get(s, now, state, key);
}

static void read_head(struct usage_seal *s, int64_t now)
{
	drop_record(s);
	call_get(s, now, USAGE_SEAL_HEAD, USAGE_HEAD_KEY);
}

static void begin_list(struct usage_seal *s, int64_t now, int64_t wall_ms)
{
	usage_book_clear(&s->counters);
	call_begin(s, now, USAGE_SEAL_LIST);
	s->wall_ms = wall_ms;
	s->ops->list(s->ctx);
}

static bool call_out(const struct usage_seal *s)
{
	return s->state != USAGE_SEAL_OFF && s->state != USAGE_SEAL_PAUSE &&
	       s->state != USAGE_SEAL_WAIT;
}

void usage_seal_tick(struct usage_seal *s, int64_t now, int64_t wall_ms,
		     int64_t window_ms)
{
	if (call_out(s) && now - s->asked_ms > CALL_LOST_MS)
		pause_seal(s, now);
	if (s->state == USAGE_SEAL_PAUSE && now >= s->resume_ms)
		read_head(s, now);
	if (s->state == USAGE_SEAL_WAIT &&
	    wall_ms >= record_end(s->record) + window_ms)
		begin_list(s, now, wall_ms);
}

static void send_report(struct usage_seal *s, int64_t now)
{
	char *body = record_report(s->record, s->epoch);

	if (!body) {
		pause_seal(s, now);
		return;
	}
	call_begin(s, now, USAGE_SEAL_SEND);
	s->ops->send(s->ctx, body, strlen(body));
	free(body);
}

static void on_head(struct usage_seal *s, int64_t now,
		    const struct usage_kv *kv)
{
	if (kv->err && kv->err != ERR_NOT_FOUND) {
		pause_seal(s, now);
		return;
	}
	s->head_rev = kv->err ? 0 : kv->rev;
	s->reported = 0;
	if (!kv->err && !record_head_read(kv->text, kv->len, &s->reported)) {
		s->ops->bad(s->ctx, USAGE_HEAD_KEY, ERR_PARSE);
		pause_seal(s, now);
		return;
	}
	s->window = s->reported + 1;
	get_window(s, now, USAGE_SEAL_FIND, s->window);
}

/// Decode the record that was read; if invalid, restart after a delay.
static bool take_record(struct usage_seal *s, int64_t now,
			const struct usage_kv *kv)
{
	char key[USAGE_KEY_MAX];

	drop_record(s);
	s->record = record_read(kv->text, kv->len, s->window);
	if (s->record)
		return true;
	usage_window_key(s->window, key);
	s->ops->bad(s->ctx, key, ERR_PARSE);
	pause_seal(s, now);
	return false;
}

/// All sealed windows are reported: the last record is the base of the next
/// one.
static void on_none_left(struct usage_seal *s, int64_t now)
{
	s->window = s->reported;
	if (s->reported > 0) {
		get_window(s, now, USAGE_SEAL_LAST, s->reported);
		return;
	}
	s->record = record_first();
	s->state = USAGE_SEAL_WAIT;
}

static void on_find(struct usage_seal *s, int64_t now,
		    const struct usage_kv *kv)
{
	if (kv->err == ERR_NOT_FOUND)
		on_none_left(s, now);
	else if (kv->err)
		pause_seal(s, now);
	else if (take_record(s, now, kv))
		send_report(s, now);
}

static void on_last(struct usage_seal *s, int64_t now,
		    const struct usage_kv *kv)
{
	if (kv->err)
		pause_seal(s, now);
	else if (take_record(s, now, kv))
		s->state = USAGE_SEAL_WAIT;
}

static void prune(struct usage_seal *s)
{
	char key[USAGE_KEY_MAX];

	if (s->reported <= USAGE_KEEP_WINDOWS)
		return;
	usage_window_key(s->reported - USAGE_KEEP_WINDOWS, key);
	s->ops->del(s->ctx, key);
}

static void on_marked(struct usage_seal *s, int64_t now,
		      const struct usage_kv *kv)
{
	if (kv->err) {
		pause_seal(s, now);
		return;
	}
	s->reported = s->window;
	s->ops->reported(s->ctx, s->window);
	prune(s);
	read_head(s, now);
}

static void on_put(struct usage_seal *s, int64_t now, const struct usage_kv *kv)
{
	if (kv->err)
		pause_seal(s, now); /* the stored record is authoritative */
	else
		read_head(s, now);
}

void usage_seal_on_kv(struct usage_seal *s, int64_t now,
		      const struct usage_kv *kv)
{
	switch (s->state) {
	case USAGE_SEAL_HEAD:
		on_head(s, now, kv);
		break;
	case USAGE_SEAL_FIND:
		on_find(s, now, kv);
		break;
	case USAGE_SEAL_LAST:
		on_last(s, now, kv);
		break;
	case USAGE_SEAL_MARK:
		on_marked(s, now, kv);
		break;
	case USAGE_SEAL_PUT:
		on_put(s, now, kv);
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

	if (s->state != USAGE_SEAL_LIST)
		return;
	j = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	e = j ? usage_book_merge_json(&s->counters, j) : ERR_PARSE;
	json_decref(j);
	if (!e)
		return;
	s->ops->bad(s->ctx, key, e);
	s->state = USAGE_SEAL_PAUSE; /* the totals would lack this part */
	s->resume_ms = s->asked_ms + CALL_LOST_MS;
}

void usage_seal_on_listed(struct usage_seal *s, int64_t now, enum err e)
{
	char key[USAGE_KEY_MAX];
	char *text;

	if (s->state != USAGE_SEAL_LIST)
		return;
	if (e) {
		pause_seal(s, now);
		return;
	}
	usage_window_key(s->window + 1, key);
	text = record_next(s->record, s->window + 1, &s->counters, s->wall_ms);
	usage_book_clear(&s->counters);
	if (!text) {
		s->ops->bad(s->ctx, key, ERR_USAGE_SHRANK);
		pause_seal(s, now);
		return;
	}
	call_begin(s, now, USAGE_SEAL_PUT);
	s->ops->put(s->ctx, key, text, strlen(text), 0);
	free(text);
}

void usage_seal_on_sent(struct usage_seal *s, int64_t now, int status)
{
	char key[USAGE_KEY_MAX];
	char text[64];

	if (s->state != USAGE_SEAL_SEND)
		return;
	if (status != 200) {
		usage_window_key(s->window, key);
		if (status >= 400 && status < 500)
			s->ops->bad(s->ctx, key, ERR_USAGE_REFUSED);
		pause_seal(s, now);
		return;
	}
	snprintf(text, sizeof(text), "{\"reported\":%llu}",
		 (unsigned long long)s->window);
	call_begin(s, now, USAGE_SEAL_MARK);
	s->ops->put(s->ctx, USAGE_HEAD_KEY, text, strlen(text), s->head_rev);
}
