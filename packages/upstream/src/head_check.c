// Checks an answer's head line by line: libcurl takes one that was cut off for whole, and
// reads on where a second answer begins within it.
#include <string.h>
#include <strings.h>

#include "call.h"

enum {
	LENGTH_MAX_DIGITS = 18, ///< fit into the type of a length
	STATUS_MIN = 100,
	STATUS_SWITCHING = 101, ///< no request asks for it
	STATUS_FINAL_MIN = 200,
	STATUS_MAX = 599,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
};

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

/* The pattern of a status line; 0 stands for a digit. */
static const char status_line[] = "HTTP/1.0 000";

bool head_may_be_status_line(const char *text, size_t len)
{
	for (size_t i = 0; i < len && i < HEAD_STATUS_LINE_MIN; i++) {
		if (status_line[i] == '0' ? !is_digit(text[i])
					  : text[i] != status_line[i])
			return false;
	}
	return len > 0;
}

bool head_is_status_line(const char *text, size_t len)
{
	return len >= HEAD_STATUS_LINE_MIN &&
	       head_may_be_status_line(text, len);
}

/* A line that was cut off, and the answer that came after it on the connection. */
bool head_has_status_line(const char *line, size_t len)
{
	for (size_t i = 1; i + HEAD_STATUS_LINE_MIN <= len; i++) {
		if (line[i] == 'H' && head_is_status_line(line + i, len - i))
			return true;
	}
	return false;
}

/* @return status of a line that begins a head, 0 if it is no status line or none that an answer
 *         can have */
static int status_of(const char *line, size_t len)
{
	const char *end = line + HEAD_STATUS_LINE_MIN;
	int status;

	if (!head_is_status_line(line, len) ||
	    (len > HEAD_STATUS_LINE_MIN && !is_blank(*end)))
		return 0;
	status = (end[-3] - '0') * 100 + (end[-2] - '0') * 10 + (end[-1] - '0');
	return status >= STATUS_MIN && status <= STATUS_MAX &&
			       status != STATUS_SWITCHING
		       ? status
		       : 0;
}

static bool begin_head(struct head_check *h, const char *line, size_t len)
{
	int status = status_of(line, len);

	if (!status || h->open || h->complete ||
	    head_has_status_line(line, len))
		return false;
	*h = (struct head_check){
		.open = true,
		.final = status >= STATUS_FINAL_MIN,
		.no_body = status == STATUS_NO_CONTENT ||
			   status == STATUS_NOT_MODIFIED,
	};
	return true;
}

static bool field_is(const char *line, size_t name_len, const char *name)
{
	return name_len == strlen(name) &&
	       strncasecmp(line, name, name_len) == 0;
}

static void trim(const char **value, size_t *len)
{
	while (*len && (**value == ' ' || **value == '\t'))
		(*value)++, (*len)--;
	while (*len && is_blank((*value)[*len - 1]))
		(*len)--;
}

/* Other codings than chunks say nothing about the body's end. */
static bool check_coding(struct head_check *h, const char *value, size_t len)
{
	trim(&value, &len);
	h->chunked = field_is(value, len, "chunked");
	return h->chunked && !h->has_length;
}

static bool check_length(struct head_check *h, const char *value, size_t len)
{
	uint64_t length = 0;
	size_t digits = 0;

	trim(&value, &len);
	for (; digits < len && is_digit(value[digits]); digits++)
		length = length * 10 + (uint64_t)(value[digits] - '0');
	if (!len || digits < len || digits > LENGTH_MAX_DIGITS ||
	    (h->has_length && length != h->length))
		return false;
	h->has_length = true;
	h->length = length;
	return !h->chunked;
}

static bool check_field(struct head_check *h, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len;

	/* The continuation of a field before it. */
	if (*line == ' ' || *line == '\t')
		return !head_has_status_line(line, len);
	if (!colon || colon == line || head_has_status_line(line, len))
		return false;
	name_len = (size_t)(colon - line);
	if (field_is(line, name_len, "Content-Length"))
		return check_length(h, colon + 1, len - name_len - 1);
	if (field_is(line, name_len, "Transfer-Encoding"))
		return check_coding(h, colon + 1, len - name_len - 1);
	return true;
}

const char *upstream_framing_name(enum upstream_framing f)
{
	static const char *const names[] = {
		[UPSTREAM_NO_BODY] = "none",
		[UPSTREAM_BY_LENGTH] = "length",
		[UPSTREAM_BY_CHUNKS] = "chunks",
		[UPSTREAM_BY_CLOSE] = "close",
	};

	return names[f];
}

bool head_check_line(struct head_check *h, const char *line, size_t len)
{
	if (len >= 5 && strncmp(line, "HTTP/", 5) == 0)
		return begin_head(h, line, len);
	/* A trailer, after the body. */
	if (!h->open)
		return h->complete;
	if (len == 0 || (len <= 2 && line[len - 1] == '\n')) {
		h->open = false;
		h->complete = h->final;
		return true;
	}
	return check_field(h, line, len);
}
