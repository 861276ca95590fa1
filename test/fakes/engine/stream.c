// Generates token streams; each connection's thread waits on engine.changed.
#include "stream.h"

#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "cache.h"
#include "fake_token.h"
#include "fault.h"

enum {
	STREAM_LINE_US = 20000, ///< approximate time between two lines
	STREAM_LINE_TOKENS_MAX = 64,
	STREAM_PREFILL_RATIO = 8, ///< prompt tokens per token time
	STREAM_POLL_MS = 20,
};

static uint32_t *stream_tokens(const json_t *list, size_t *n)
{
	uint32_t *v;

	*n = json_array_size(list);
	v = calloc(*n + 1, sizeof(*v));
	for (size_t i = 0; i < *n; i++)
		v[i] = (uint32_t)json_integer_value(json_array_get(list, i));
	return v;
}

/* A cold engine fails with queued streams, a warm one beyond 2 per slot. */
static bool stream_overloaded(const struct engine *e)
{
	bool warm = e->capacity >= e->opts.slots;
	int limit = warm ? 2 * e->capacity : e->capacity;

	return e->running + e->queued >= limit;
}

static struct stream *stream_alloc(struct engine *e)
{
	for (size_t i = 0; i < ENGINE_STREAMS_MAX; i++) {
		if (!e->streams[i].in_use)
			return &e->streams[i];
	}
	return NULL;
}

static void stream_update_peaks(struct engine *e)
{
	int n = e->running + e->queued;

	if (n > e->peak)
		e->peak = n;
	if (e->capacity < e->opts.slots && n > e->peak_cold)
		e->peak_cold = n;
}

static void stream_set(struct engine *e, struct stream *s, const json_t *body)
{
	size_t n;
	uint32_t *prompt = stream_tokens(json_object_get(body, "prompt"), &n);
	const char *id = json_string_value(json_object_get(body, "id"));

	snprintf(s->id, sizeof(s->id), "%s", id ? id : "");
	s->priority =
		(int)json_integer_value(json_object_get(body, "priority"));
	s->seed = (uint64_t)json_integer_value(json_object_get(body, "seed"));
	s->max_tokens =
		(size_t)json_integer_value(json_object_get(body, "max_tokens"));
	s->pos = json_array_size(json_object_get(body, "resume"));
	s->prompt = fake_prompt_hash(prompt, n);
	s->prompt_len = n + s->pos;
	s->stop_at = fake_sample_len(s->prompt, s->seed);
	s->cache_hit =
		cache_touch(e, fake_prefix_hash(prompt, n), clock_now_ms());
	free(prompt);
}

static void stream_set_faults(struct engine *e, struct stream *s)
{
	s->hang = fault_consume(e, FAULT_HANG, NULL);
	s->reset_mid = fault_consume(e, FAULT_RESET_MID, NULL);
	fault_consume(e, FAULT_SLOW, &s->delay_ms);
}

int stream_open(struct engine *e, const struct json_t *body, int fd,
		struct stream **out)
{
	struct stream *s = NULL;
	int status = 400;

	if (!json_is_array(json_object_get(body, "prompt")) ||
	    !json_is_integer(json_object_get(body, "max_tokens")))
		return status;
	pthread_mutex_lock(&e->lock);
	if (stream_overloaded(e))
		engine_overload(e, clock_now_ms());
	if (e->outage_end_ms <= clock_now_ms())
		s = stream_alloc(e);
	status = s ? 200 : 0;
	if (s) {
		*s = (struct stream){.in_use = true, .fd = fd};
		s->arrival = ++e->arrivals;
		stream_set(e, s, body);
		stream_set_faults(e, s);
		e->queued++;
		e->started++;
		e->resumed += s->pos > 0;
		stream_update_peaks(e);
	}
	pthread_mutex_unlock(&e->lock);
	*out = s;
	return status;
}

static bool stream_caller_closed(const struct stream *s)
{
	struct pollfd p = {s->fd, POLLRDHUP, 0};

	return poll(&p, 1, 0) > 0 &&
	       (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

static void stream_wait(struct engine *e, int64_t us)
{
	struct timespec ts;

	if (us > STREAM_POLL_MS * 1000)
		us = STREAM_POLL_MS * 1000;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_nsec += us * 1000;
	ts.tv_sec += ts.tv_nsec / 1000000000;
	ts.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&e->changed, &e->lock, &ts);
}

/* Wait, lock held; false if aborted, cancelled or the caller disconnected. */
static bool stream_sleep(struct engine *e, const struct stream *s, int64_t us)
{
	int64_t end = clock_now_us() + us;

	while (!s->aborted && !s->cancelled) {
		int64_t remaining = end - clock_now_us();

		if (remaining <= 0 && !s->hang)
			return true;
		if (stream_caller_closed(s))
			return false;
		stream_wait(e, s->hang ? STREAM_POLL_MS * 1000 : remaining);
	}
	return false;
}

static bool stream_precedes(const struct stream *a, const struct stream *b)
{
	if (a->priority != b->priority)
		return a->priority > b->priority;
	return a->arrival < b->arrival;
}

static bool stream_is_next(const struct engine *e, const struct stream *s)
{
	if (e->running >= e->capacity)
		return false;
	for (size_t i = 0; i < ENGINE_STREAMS_MAX; i++) {
		const struct stream *o = &e->streams[i];

		if (o->in_use && !o->running && !o->aborted && !o->cancelled &&
		    o != s && stream_precedes(o, s))
			return false;
	}
	return true;
}

/* Wait for a slot and the prefill; false as in stream_sleep(). */
static bool stream_start(struct engine *e, struct stream *s)
{
	size_t prefill = s->prompt_len / STREAM_PREFILL_RATIO;

	while (!stream_is_next(e, s)) {
		if (!stream_sleep(e, s, STREAM_POLL_MS * 1000))
			return false;
	}
	e->queued--;
	e->running++;
	s->running = true;
	pthread_cond_broadcast(&e->changed);
	if (s->cache_hit)
		return true;
	return stream_sleep(e, s, (int64_t)prefill * e->opts.token_us);
}

static void stream_set_line(struct stream *s, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);

	free(s->line);
	s->line_len = strlen(text) + 1;
	s->line = malloc(s->line_len);
	memcpy(s->line, text, s->line_len - 1);
	s->line[s->line_len - 1] = '\n';
	s->line_off = 0;
	free(text);
	json_decref(line);
}

static void stream_set_end_line(struct engine *e, struct stream *s,
				const char *finish)
{
	stream_set_line(s, json_pack("{s:s,s:s,s:I}", "type", "end", "finish",
				     finish, "n", (json_int_t)s->generated));
	s->ended = true;
	e->finished++;
}

static size_t stream_remaining(const struct stream *s)
{
	size_t end = s->stop_at < s->max_tokens ? s->stop_at : s->max_tokens;

	return s->pos < end ? end - s->pos : 0;
}

static size_t stream_line_tokens(const struct engine *e, const struct stream *s)
{
	size_t remaining = stream_remaining(s);
	size_t n = STREAM_LINE_TOKENS_MAX;

	if (e->opts.token_us * STREAM_LINE_TOKENS_MAX > STREAM_LINE_US)
		n = (size_t)(STREAM_LINE_US / e->opts.token_us);
	if (n == 0)
		n = 1;
	return n < remaining ? n : remaining;
}

static void stream_set_segment_line(struct engine *e, struct stream *s,
				    size_t n)
{
	json_t *tokens = json_array();

	for (size_t i = 0; i < n; i++, s->pos++) {
		uint32_t t = fake_token(s->prompt, s->seed, s->pos, e->version);

		json_array_append_new(tokens, json_integer(t));
	}
	s->generated += n;
	engine_add_tokens(e, n);
	stream_set_line(s,
			json_pack("{s:s,s:I,s:o}", "type", "segment", "version",
				  (json_int_t)e->version, "tokens", tokens));
}

/* Generate the next line; false when the stream is aborted. */
static bool stream_next_line(struct engine *e, struct stream *s)
{
	size_t n = stream_line_tokens(e, s);
	int64_t us = (int64_t)n * e->opts.token_us + s->delay_ms * 1000;

	if (!s->running && !stream_start(e, s) && !s->cancelled)
		return false;
	if (s->reset_mid && s->generated > 0)
		return false;
	if (n > 0 && !s->cancelled && !stream_sleep(e, s, us) && !s->cancelled)
		return false;
	if (s->aborted)
		return false;
	if (s->cancelled)
		stream_set_end_line(e, s, "cancelled");
	else if (n > 0)
		stream_set_segment_line(e, s, n);
	else
		stream_set_end_line(e, s,
				    s->pos >= s->stop_at ? "stop" : "length");
	return true;
}

ssize_t stream_read(struct engine *e, struct stream *s, char *buf, size_t max)
{
	bool ok = true;
	size_t n;

	if (s->line_off == s->line_len) {
		if (s->ended)
			return 0;
		pthread_mutex_lock(&e->lock);
		ok = stream_next_line(e, s);
		pthread_mutex_unlock(&e->lock);
	}
	if (!ok)
		return -1;
	n = s->line_len - s->line_off;
	n = n < max ? n : max;
	memcpy(buf, s->line + s->line_off, n);
	s->line_off += n;
	return (ssize_t)n;
}

void stream_close(struct engine *e, struct stream *s)
{
	pthread_mutex_lock(&e->lock);
	if (s->running)
		e->running--;
	else
		e->queued--;
	free(s->line);
	s->line = NULL;
	s->in_use = false;
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
}

int stream_cancel(struct engine *e, const char *id)
{
	if (!id)
		return 400;
	pthread_mutex_lock(&e->lock);
	for (size_t i = 0; i < ENGINE_STREAMS_MAX; i++) {
		struct stream *s = &e->streams[i];

		if (!s->in_use || strcmp(s->id, id) != 0)
			continue;
		s->cancelled = true;
		s->hang = false;
		e->cancels++;
	}
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
	return 200;
}
