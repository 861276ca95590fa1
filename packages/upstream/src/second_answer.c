// Finds a second answer that fills up a body which the server broke off: the body has its
// full length, ends within that answer's head or body, and the rest follows behind it.
#include <stdlib.h>
#include <string.h>

#include "call.h"

enum {
	/// Bytes of a status line from which it is waited for what follows; fewer end many a
	/// text.
	STATUS_LINE_TELLING = 5,
	LINE_MAX_BYTES = 8192, ///< of a field; common servers accept as much
};

/// Bytes from the supposed begin of a second answer on.
struct view {
	const char *text;
	size_t len; ///< bytes
	size_t in_body; ///< how many of them belong to the body
};

/* Whether a line, or its begin if it is cut, stands in the first answer's head. */
static bool is_own_line(const struct own_head *own, const char *line,
			size_t len, bool whole)
{
	const char *end = own->text + own->len;

	for (const char *p = own->text; p < end;) {
		const char *nl = memchr(p, '\n', (size_t)(end - p));
		size_t n = nl ? (size_t)(nl - p) + 1 : (size_t)(end - p);

		if ((whole ? n == len : n >= len) && memcmp(p, line, len) == 0)
			return true;
		p += n;
	}
	return false;
}

/* Whether what a line has behind the body says that it is part of a second answer. */
static bool is_evidence(const struct own_head *own, const struct view *v,
			size_t pos, size_t len, bool whole)
{
	const char *line = v->text + pos;
	bool empty = strchr("\r\n", *line) != NULL;
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon ? (size_t)(colon - line) + 1 : len;
	bool crosses = pos + len > v->in_body;

	if (pos == 0) {
		/* A text may end with a status line, and its line end follow. */
		return crosses && v->in_body < len &&
		       !strchr("\r\n", line[v->in_body]) &&
		       is_own_line(own, line, len, whole);
	}
	if (colon && pos + name_len > v->in_body &&
	    is_own_line(own, line, name_len, false))
		return true;
	return !empty && (whole || crosses) &&
	       is_own_line(own, line, len, whole);
}

/* The head is complete. */
static enum second_answer check_extent(const struct head_check *h,
				       const struct view *v, size_t head_len,
				       bool evidence)
{
	size_t rest = v->len - head_len;

	if (head_len <= v->in_body) {
		size_t in_body = v->in_body - head_len;

		if (h->no_body ||
		    !(h->chunked || (h->has_length && h->length > in_body)))
			return SECOND_NONE;
	}
	if (v->len == v->in_body)
		return SECOND_MAYBE;
	/* What follows is exactly what the second answer lacks. */
	if (h->has_length && h->length == rest)
		return SECOND_FOUND;
	return evidence ? SECOND_FOUND : SECOND_MAYBE;
}

static enum second_answer check_status_line(const struct view *v)
{
	if (!head_may_be_status_line(v->text, v->len))
		return SECOND_NONE;
	if (v->in_body < HEAD_STATUS_LINE_MIN && v->len > v->in_body)
		return SECOND_FOUND;
	return v->len >= STATUS_LINE_TELLING ? SECOND_MAYBE : SECOND_NONE;
}

static enum second_answer check_view(const struct own_head *own,
				     const struct view *v)
{
	enum second_answer first = check_status_line(v);
	struct head_check h = {0};
	bool evidence = false;
	size_t pos = 0;

	if (first != SECOND_MAYBE || v->len < HEAD_STATUS_LINE_MIN)
		return first;
	while (!h.complete && pos < v->len) {
		size_t rest = v->len - pos;
		size_t max = rest < LINE_MAX_BYTES ? rest : LINE_MAX_BYTES;
		const char *nl = memchr(v->text + pos, '\n', max);
		size_t len = nl ? (size_t)(nl - v->text) + 1 - pos : rest;

		if (pos > UPSTREAM_HEAD_MAX_BYTES || (!nl && max < rest))
			return SECOND_NONE;
		if (nl ? !head_check_line(&h, v->text + pos, len)
		       : head_has_status_line(v->text + pos, len))
			return SECOND_NONE;
		evidence |= is_evidence(own, v, pos, len, nl != NULL);
		pos += len;
	}
	if (h.complete)
		return check_extent(&h, v, pos, evidence);
	return evidence && v->len > v->in_body ? SECOND_FOUND : SECOND_MAYBE;
}

/* The next byte from which a second answer may begin. */
static const char *next_begin(const char *p, const char *end)
{
	for (; (p = memchr(p, 'H', (size_t)(end - p))); p++) {
		if (head_may_be_status_line(p, (size_t)(end - p)))
			return p;
	}
	return NULL;
}

bool second_answer_may_begin(const char *body, size_t len)
{
	return next_begin(body, body + len) != NULL;
}

enum second_answer second_answer_find(const struct own_head *own,
				      const char *body, size_t len,
				      const char *surplus, size_t surplus_len)
{
	const char *begin = next_begin(body, body + len);
	size_t tail = begin ? (size_t)(body + len - begin) : 0;
	enum second_answer found = SECOND_NONE;
	char *text = begin ? malloc(tail + surplus_len) : NULL;

	if (!text)
		return SECOND_NONE;
	memcpy(text, begin, tail);
	if (surplus_len)
		memcpy(text + tail, surplus, surplus_len);
	for (const char *p = text;
	     found != SECOND_FOUND && (p = next_begin(p, text + tail)); p++) {
		const struct view v = {
			.text = p,
			.len = (size_t)(text + tail + surplus_len - p),
			.in_body = (size_t)(text + tail - p),
		};
		enum second_answer at = check_view(own, &v);

		found = at > found ? at : found;
	}
	free(text);
	return found;
}

/* Whether all fields of a head occur, by their names, in the lines of a text. */
static bool has_own_fields(const struct own_head *own, char *text, size_t len)
{
	const struct own_head lines = {.text = text, .len = len};
	const char *end = own->text + own->len;
	bool has_field = false;

	for (const char *p = own->text; p < end;) {
		const char *nl = memchr(p, '\n', (size_t)(end - p));
		size_t line_len = nl ? (size_t)(nl - p) + 1 : (size_t)(end - p);
		const char *colon = memchr(p, ':', line_len);

		if (colon &&
		    !is_own_line(&lines, p, (size_t)(colon - p) + 1, false))
			return false;
		has_field |= colon != NULL;
		p += line_len;
	}
	return has_field;
}

/* Bytes of the lines of a head at the begin of a text. */
static size_t head_lines(const char *text, size_t len)
{
	struct head_check h = {0};
	size_t pos = 0;

	while (!h.complete && pos < len && pos <= UPSTREAM_HEAD_MAX_BYTES) {
		size_t max =
			len - pos < LINE_MAX_BYTES ? len - pos : LINE_MAX_BYTES;
		const char *nl = memchr(text + pos, '\n', max);
		size_t end = nl ? (size_t)(nl - text) + 1 : 0;

		if (!nl || !head_check_line(&h, text + pos, end - pos))
			break;
		pos = end;
	}
	return pos;
}

bool second_answer_repeats_head(const struct own_head *own, char *body,
				size_t len)
{
	char *end = body + len;

	for (char *p = body; p < end; p++) {
		p = memchr(p, 'H', (size_t)(end - p));
		if (!p)
			return false;
		if (head_is_status_line(p, (size_t)(end - p)) &&
		    has_own_fields(own, p, head_lines(p, (size_t)(end - p))))
			return true;
	}
	return false;
}
