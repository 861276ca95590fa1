// Trace context and spans; a thread of its own writes the span lines.
#include "base/trace.h"

#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <poll.h>
#include <time.h>

#include "base/mbox.h"
#include "base/metric.h"

enum {
	TRACE_QUEUE_SPANS = 8192, ///< spans queued for the writer
	TRACE_LINE_BYTES = 512, ///< longest span line
	TRACE_DETAIL_BYTES = 160, ///< longest detail text
	TRACE_FLAGS_OFFSET = 53, ///< offset of the flags in a traceparent
};

static struct mbox *trace_queue;
static FILE *trace_file;
static pthread_t trace_thread;
static atomic_bool trace_enabled;
static char trace_stop_marker;

static int64_t trace_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

static void *trace_writer(void *arg)
{
	struct pollfd pfd = {.fd = mbox_fd(trace_queue), .events = POLLIN};

	for (;;) {
		char *line;

		poll(&pfd, 1, -1);
		mbox_clear(trace_queue);
		while ((line = mbox_get(trace_queue))) {
			if (line == &trace_stop_marker)
				return NULL;
			fputs(line, trace_file);
			free(line);
		}
		fflush(trace_file);
	}
}

bool trace_open(const char *path)
{
	bool is_stderr = strcmp(path, "-") == 0;

	trace_file = is_stderr ? stderr : fopen(path, "ae");
	if (!trace_file)
		return false;
	trace_queue = mbox_new(TRACE_QUEUE_SPANS);
	if (!trace_queue)
		goto err_box;
	if (pthread_create(&trace_thread, NULL, trace_writer, NULL))
		goto err_thread;
	atomic_store(&trace_enabled, true);
	return true;

err_thread:
	mbox_free(trace_queue);
err_box:
	if (!is_stderr)
		fclose(trace_file);
	return false;
}

void trace_close(void)
{
	struct timespec pause = {0, 1000000};

	if (!atomic_exchange(&trace_enabled, false))
		return;
	while (mbox_put(trace_queue, &trace_stop_marker) != ERR_OK)
		nanosleep(&pause, NULL);
	pthread_join(trace_thread, NULL);
	mbox_free(trace_queue);
	if (trace_file != stderr)
		fclose(trace_file);
}

static bool hex_read(const char *s, uint8_t *out, size_t n)
{
	uint8_t all_bits = 0;

	for (size_t i = 0; i < 2 * n; i++) {
		if (!strchr("0123456789abcdef", s[i]))
			return false;
	}
	for (size_t i = 0; i < n; i++) {
		char byte[3] = {s[2 * i], s[2 * i + 1], '\0'};

		out[i] = (uint8_t)strtoul(byte, NULL, 16);
		all_bits |= out[i];
	}
	return all_bits != 0;
}

static char *hex_write(char *s, const uint8_t *in, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		*s++ = "0123456789abcdef"[in[i] >> 4];
		*s++ = "0123456789abcdef"[in[i] & 0xf];
	}
	*s = '\0';
	return s;
}

static void trace_root(struct trace_ctx *ctx)
{
	memset(ctx, 0, sizeof(*ctx));
	randombytes_buf(ctx->trace_id, sizeof(ctx->trace_id));
	ctx->sampled = true;
}

bool trace_parse(struct trace_ctx *ctx, const char *value)
{
	bool ok = value && strlen(value) == TRACE_PARENT_LEN &&
		  memcmp(value, "00-", 3) == 0 && value[35] == '-' &&
		  value[52] == '-' && hex_read(value + 3, ctx->trace_id, 16) &&
		  hex_read(value + 36, ctx->span_id, 8);
	uint8_t flags;

	if (!ok) {
		trace_root(ctx);
		return false;
	}
	ctx->sampled =
		hex_read(value + TRACE_FLAGS_OFFSET, &flags, 1) && (flags & 1);
	return true;
}

void trace_format(const struct trace_ctx *ctx, char *buf)
{
	char *p = buf;

	strcpy(p, "00-");
	p = hex_write(p + 3, ctx->trace_id, sizeof(ctx->trace_id));
	*p++ = '-';
	p = hex_write(p, ctx->span_id, sizeof(ctx->span_id));
	strcpy(p, ctx->sampled ? "-01" : "-00");
}

void span_begin(struct span *s, const struct trace_ctx *parent,
		const char *name)
{
	s->ctx = *parent;
	memcpy(s->parent, parent->span_id, sizeof(s->parent));
	randombytes_buf(s->ctx.span_id, sizeof(s->ctx.span_id));
	s->name = name;
	s->start_us = trace_now_us();
}

/// Copy a string without the characters that a JSON string would need escaped.
static void trace_copy_plain(char *dst, size_t len, const char *src)
{
	size_t n = 0;

	for (; src && *src && n + 1 < len; src++) {
		if (*src >= ' ' && *src < 0x7f && *src != '"' && *src != '\\')
			dst[n++] = *src;
	}
	dst[n] = '\0';
}

void span_end(const struct span *s, const char *status, const char *detail)
{
	char trace_id[33], span_id[17], parent[17], text[TRACE_DETAIL_BYTES];
	char *line;

	if (!s->name || !s->ctx.sampled || !atomic_load(&trace_enabled))
		return;
	line = malloc(TRACE_LINE_BYTES);
	if (!line)
		return;
	hex_write(trace_id, s->ctx.trace_id, sizeof(s->ctx.trace_id));
	hex_write(span_id, s->ctx.span_id, sizeof(s->ctx.span_id));
	hex_write(parent, s->parent, sizeof(s->parent));
	trace_copy_plain(text, sizeof(text), detail);
	snprintf(line, TRACE_LINE_BYTES,
		 "{\"trace\":\"%s\",\"span\":\"%s\",\"parent\":\"%s\","
		 "\"name\":\"%s\",\"start_us\":%lld,\"us\":%lld,"
		 "\"status\":\"%s\",\"detail\":\"%s\"}\n",
		 trace_id, span_id, parent, s->name, (long long)s->start_us,
		 (long long)(trace_now_us() - s->start_us), status, text);
	if (mbox_put(trace_queue, line) != ERR_OK) {
		metric_add(M_TRACE_DROPPED, 1);
		free(line);
	}
}
