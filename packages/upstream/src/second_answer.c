// Finds a second answer that fills up a body which the server broke off: the body has its
// full length, ends within that answer's head or body, and the rest follows behind it.
#include "second_answer.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "upstream/head_check.h"
#include "upstream/upstream.h"

enum {
	/// Bytes of a status line from which it is waited for what follows; many texts end
	/// with fewer.
	STATUS_LINE_TELLING = 5,
	LINE_MAX_BYTES = 8192, ///< of a field; common servers accept as much
	/// Most lines of a head; one with more fields is refused as an answer.
	LINES_MAX = UPSTREAM_MAX_HEADERS + 2,
	/// Most supposed heads that are looked at, from the body's end on: bounds the time
	/// that a body made of status lines takes.
	HEADS_MAX = 4096,
	EVIDENCE_MAX =
		16, ///< most of them whose lines are compared with the own head
};

/// Bytes from the supposed start of a second answer on.
struct view {
	const char *text;
	size_t len; ///< bytes
	size_t in_body; ///< how many of them belong to the body
};

/// Lines of a supposed head.
struct walk {
	struct head_check head;
	size_t len; ///< bytes of whole lines
	bool valid; ///< they, and what follows them, may be a head
	bool own_id;
	bool other_id;
};

/* Whether a line is a field with the id's name; its value without blanks. */
static bool id_value_of(const struct own_head *own, const char *line,
			size_t len, const char **value, size_t *value_len)
{
	size_t n = own->id_name ? strlen(own->id_name) : 0;
	const char *end = line + len;

	if (!n || len <= n || line[n] != ':' ||
	    strncasecmp(line, own->id_name, n) != 0)
		return false;
	line += n + 1;
	while (line < end && (*line == ' ' || *line == '\t'))
		line++;
	while (end > line && (end[-1] == ' ' || end[-1] == '\t' ||
			      end[-1] == '\r' || end[-1] == '\n'))
		end--;
	*value = line;
	*value_len = (size_t)(end - line);
	return true;
}

static void note_id(const struct own_head *own, struct walk *w,
		    const char *line, size_t len)
{
	const char *value;
	size_t n;

	if (!id_value_of(own, line, len, &value, &n))
		return;
	if (n == strlen(own->id_value) && memcmp(value, own->id_value, n) == 0)
		w->own_id = true;
	else
		w->other_id = true;
}

static void walk_lines(const struct own_head *own, const char *text, size_t len,
		       struct walk *w)
{
	*w = (struct walk){.valid = true};
	for (int n = 0; !w->head.complete && w->len < len; n++) {
		size_t rest = len - w->len;
		size_t max = rest < LINE_MAX_BYTES ? rest : LINE_MAX_BYTES;
		const char *line = text + w->len;
		const char *nl = memchr(line, '\n', max);
		size_t line_len = nl ? (size_t)(nl - line) + 1 : rest;

		w->valid = n < LINES_MAX && (nl || max == rest) &&
			   (nl ? head_check_line(&w->head, line, line_len)
			       : !head_has_status_line(line, line_len));
		if (!w->valid || !nl)
			return;
		note_id(own, w, line, line_len);
		w->len += line_len;
	}
}

/* Whether a line, or its start if it is cut, stands in the first answer's head. */
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
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon ? (size_t)(colon - line) + 1 : len;
	bool crosses = pos + len > v->in_body;

	if (*line == '\r' || *line == '\n')
		return false;
	if (pos == 0) {
		char next = v->in_body < len ? line[v->in_body] : '\n';

		/* A text may end with a status line, and its line end follow. */
		return crosses && next != '\r' && next != '\n' &&
		       is_own_line(own, line, len, whole);
	}
	if (colon && pos + name_len > v->in_body &&
	    is_own_line(own, line, name_len, false))
		return true;
	return (whole || crosses) && is_own_line(own, line, len, whole);
}

/* Whether a line of a supposed head, of which bytes follow the body, is evidence. */
static bool has_evidence(const struct own_head *own, const struct view *v,
			 const struct walk *w)
{
	size_t end = w->head.complete ? w->len : v->len;

	for (size_t pos = 0; pos < end;) {
		const char *nl = memchr(v->text + pos, '\n', end - pos);
		size_t len = nl ? (size_t)(nl - v->text) + 1 - pos : end - pos;

		if (is_evidence(own, v, pos, len, nl != NULL))
			return true;
		pos += len;
	}
	return false;
}

/* Whether an answer with this whole head goes on behind the body. */
static bool goes_on(const struct view *v, const struct walk *w)
{
	if (w->len > v->in_body)
		return true;
	return !w->head.no_body &&
	       (w->head.chunked ||
		(w->head.has_length && w->head.length > v->in_body - w->len));
}

static enum second_answer check_head(const struct own_head *own,
				     const struct view *v, int *n_evidence)
{
	bool surplus = v->len > v->in_body;
	struct walk w;

	walk_lines(own, v->text, v->len, &w);
	if (!w.valid || (w.head.complete && !goes_on(v, &w)))
		return SECOND_NONE;
	if (w.own_id || (w.other_id && surplus))
		return SECOND_FOUND;
	/* A cut line that is not the start of the own status line: only what is there by
	 * now can tell, since many texts end with one. */
	if (!w.len && !surplus && !is_own_line(own, v->text, v->len, false))
		return SECOND_NONE;
	if (!surplus)
		return SECOND_MAYBE;
	/* What follows is exactly what the second answer lacks. */
	if (w.head.complete && w.head.has_length &&
	    w.head.length == v->len - w.len)
		return SECOND_FOUND;
	/* A whole head would have had the id. */
	if ((w.head.complete && own->id_name) || ++*n_evidence > EVIDENCE_MAX)
		return SECOND_MAYBE;
	return has_evidence(own, v, &w) ? SECOND_FOUND : SECOND_MAYBE;
}

static enum second_answer check_view(const struct own_head *own,
				     const struct view *v, int *n_evidence)
{
	if (!head_may_be_status_line(v->text, v->len))
		return SECOND_NONE;
	if (v->in_body < HEAD_STATUS_LINE_MIN && v->len > v->in_body)
		return SECOND_FOUND;
	if (v->len < HEAD_STATUS_LINE_MIN)
		return v->len >= STATUS_LINE_TELLING ? SECOND_MAYBE
						     : SECOND_NONE;
	return check_head(own, v, n_evidence);
}

/* The first byte from which a second answer may begin, NULL if none. */
static const char *first_begin(const char *p, const char *end)
{
	for (; p < end; p++) {
		p = memchr(p, 'H', (size_t)(end - p));
		if (!p)
			return NULL;
		if (head_may_be_status_line(p, (size_t)(end - p)))
			return p;
	}
	return NULL;
}

bool second_answer_may_begin(const char *body, size_t len)
{
	return first_begin(body, body + len) != NULL;
}

enum second_answer second_answer_find(const struct own_head *own,
				      const char *body, size_t len,
				      const char *surplus, size_t surplus_len)
{
	const char *begin = first_begin(body, body + len);
	size_t in_body = begin ? (size_t)(body + len - begin) : 0;
	enum second_answer found = SECOND_NONE;
	char *text = begin ? malloc(in_body + surplus_len) : NULL;
	const char *p = text ? text + in_body : NULL;
	int n_evidence = 0;

	if (!text)
		return begin ? SECOND_MAYBE : SECOND_NONE;
	memcpy(text, begin, in_body);
	if (surplus_len)
		memcpy(text + in_body, surplus, surplus_len);
	for (int n = 0; n < HEADS_MAX && found != SECOND_FOUND;) {
		struct view v;
		enum second_answer at;

		p = memrchr(text, 'H', (size_t)(p - text));
		if (!p)
			break;
		v = (struct view){
			.text = p,
			.len = (size_t)(text + in_body + surplus_len - p),
			.in_body = (size_t)(text + in_body - p),
		};
		at = check_view(own, &v, &n_evidence);
		n += head_may_be_status_line(p, v.in_body);
		found = at > found ? at : found;
	}
	free(text);
	return found;
}

bool second_answer_has_own_id(const struct own_head *own, const char *body,
			      size_t len)
{
	const char *end = body + len;
	const char *p = end;
	struct walk w;

	for (int n = 0; own->id_name && n < HEADS_MAX;) {
		p = memrchr(body, 'H', (size_t)(p - body));
		if (!p)
			return false;
		if (!head_is_status_line(p, (size_t)(end - p)))
			continue;
		n++;
		walk_lines(own, p, (size_t)(end - p), &w);
		if (w.own_id)
			return true;
	}
	return false;
}

/* Whether a text holds a line with the own id. */
static bool has_id_line(const struct own_head *own, const char *text,
			size_t len)
{
	size_t name_len = strlen(own->id_name);
	size_t value_len = strlen(own->id_value);
	const char *end = text + len;
	const char *p = text;

	while ((p = memmem(p, (size_t)(end - p), own->id_value, value_len))) {
		const char *line = memrchr(text, '\n', (size_t)(p - text));
		size_t before = line ? (size_t)(p - line) - 1 : 0;

		if (line && before > name_len && line[1 + name_len] == ':' &&
		    strncasecmp(line + 1, own->id_name, name_len) == 0)
			return true;
		p++;
	}
	return false;
}

bool second_answer_in_piece(const struct own_head *own, struct id_carry *carry,
			    const char *piece, size_t len)
{
	char both[2 * ID_CARRY_BYTES];
	size_t n = len < ID_CARRY_BYTES ? len : ID_CARRY_BYTES;
	size_t keep;
	bool found;

	if (!own->id_name)
		return false;
	memcpy(both, carry->text, carry->len);
	memcpy(both + carry->len, piece, n);
	found = has_id_line(own, both, carry->len + n) ||
		(len > n && has_id_line(own, piece, len));
	if (len >= ID_CARRY_BYTES) {
		memcpy(carry->text, piece + len - ID_CARRY_BYTES,
		       ID_CARRY_BYTES);
		carry->len = ID_CARRY_BYTES;
		return found;
	}
	keep = carry->len + len > ID_CARRY_BYTES ? ID_CARRY_BYTES
						 : carry->len + len;
	memcpy(carry->text, both + carry->len + len - keep, keep);
	carry->len = keep;
	return found;
}
