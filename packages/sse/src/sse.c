// Parses lines into fields and fields into events.
#include "sse/sse.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	BUF_MIN = 512, ///< initial bytes of a buffer
};

void sse_init(struct sse *s, const struct sse_opts *opts)
{
	memset(s, 0, sizeof(*s));
	s->opts = *opts;
}

void sse_free(struct sse *s)
{
	free(s->line);
	free(s->data);
	s->line = NULL;
	s->data = NULL;
}

static enum err append(char **buf, size_t *len, size_t *cap, const char *bytes,
		       size_t n)
{
	size_t want = *cap ? *cap : BUF_MIN;
	char *p;

	if (*len + n > SSE_EVENT_MAX_BYTES)
		return ERR_TOO_LARGE;
	while (want < *len + n + 1)
		want *= 2;
	if (want != *cap) {
		p = realloc(*buf, want);
		if (!p)
			return ERR_NOMEM;
		*buf = p;
		*cap = want;
	}
	memcpy(*buf + *len, bytes, n);
	*len += n;
	(*buf)[*len] = '\0';
	return ERR_OK;
}

static void dispatch(struct sse *s)
{
	const struct sse_event ev = {
		.id = s->id,
		.data = s->data ? s->data : "",
		.len = s->data_len,
		.extra = s->extra,
	};

	if (s->has_data && !s->stopped && !s->opts.on_event(s->opts.ctx, &ev))
		s->stopped = true;
	s->data_len = 0;
	s->has_data = false;
	s->id = 0;
	s->extra = 0;
}

static enum err append_data(struct sse *s, const char *value, size_t len)
{
	enum err e = ERR_OK;

	if (s->has_data)
		e = append(&s->data, &s->data_len, &s->data_cap, "\n", 1);
	s->has_data = true;
	if (e == ERR_OK)
		e = append(&s->data, &s->data_len, &s->data_cap, value, len);
	return e;
}

static bool is_field(const char *name, size_t len, const char *want)
{
	return want && strlen(want) == len && strncasecmp(name, want, len) == 0;
}

/* Handle the complete line in buf, NUL-terminated, without its line end. */
static enum err parse_line(struct sse *s)
{
	char *colon = memchr(s->line, ':', s->line_len);
	size_t name_len = colon ? (size_t)(colon - s->line) : s->line_len;
	char *value = colon ? colon + 1 : s->line + s->line_len;

	if (s->line_len == 0) {
		dispatch(s);
		return ERR_OK;
	}
	if (*value == ' ')
		value++;
	if (is_field(s->line, name_len, "data"))
		return append_data(s, value,
				   (size_t)(s->line + s->line_len - value));
	if (is_field(s->line, name_len, "id"))
		s->id = strtoull(value, NULL, 10);
	else if (is_field(s->line, name_len, s->opts.extra_field))
		s->extra = strtoull(value, NULL, 10);
	return ERR_OK;
}

enum err sse_feed(struct sse *s, const char *bytes, size_t len)
{
	enum err e = ERR_OK;

	while (len && e == ERR_OK) {
		const char *end = memchr(bytes, '\n', len);
		size_t n = end ? (size_t)(end - bytes) : len;

		e = append(&s->line, &s->line_len, &s->line_cap, bytes, n);
		if (e != ERR_OK || !end)
			return e;
		if (s->line_len && s->line[s->line_len - 1] == '\r')
			s->line[--s->line_len] = '\0';
		e = parse_line(s);
		s->line_len = 0;
		bytes += n + 1;
		len -= n + 1;
	}
	return e;
}

bool sse_at_event_end(const struct sse *s)
{
	return s->line_len == 0 && !s->has_data;
}
