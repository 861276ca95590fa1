// Checks an answer's head line by line: libcurl takes one that was cut off for whole, and
// reads on where a second answer begins within it.
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "call.h"

enum {
	STATUS_LINE_MIN = 12, ///< bytes of "HTTP/1.1 200"
	STATUS_FINAL_MIN = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
};

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_status_line(const char *line, size_t len)
{
	return len >= STATUS_LINE_MIN && strncmp(line, "HTTP/1.", 7) == 0 &&
	       is_digit(line[7]) && line[8] == ' ' && is_digit(line[9]) &&
	       is_digit(line[10]) && is_digit(line[11]);
}

/* A field that was cut off, and the answer that came after it on the connection. */
static bool has_status_line(const char *line, size_t len)
{
	for (size_t i = 1; i + STATUS_LINE_MIN <= len; i++) {
		if (line[i] == 'H' && is_status_line(line + i, len - i))
			return true;
	}
	return false;
}

static bool begin_head(struct head_check *h, const char *line, size_t len)
{
	int status = len >= STATUS_LINE_MIN ? atoi(line + 9) : 0;

	if (h->open || h->complete)
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

static bool check_length(struct head_check *h, const char *value, size_t len)
{
	uint64_t length = 0;
	size_t digits = 0;

	while (len && (*value == ' ' || *value == '\t'))
		value++, len--;
	while (len && strchr(" \t\r\n", value[len - 1]))
		len--;
	for (; digits < len && is_digit(value[digits]); digits++)
		length = length * 10 + (uint64_t)(value[digits] - '0');
	if (!len || digits < len || (h->has_length && length != h->length))
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
		return !has_status_line(line, len);
	if (!colon || colon == line || has_status_line(line, len))
		return false;
	name_len = (size_t)(colon - line);
	if (field_is(line, name_len, "Content-Length"))
		return check_length(h, colon + 1, len - name_len - 1);
	if (field_is(line, name_len, "Transfer-Encoding")) {
		h->chunked = true;
		return !h->has_length;
	}
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
