// Checks field names and values, hosts and paths.
#include "http/syntax.h"

#include <ctype.h>
#include <stddef.h>
#include <string.h>

enum {
	DEL = 0x7f,
	ESCAPE_LEN = 3, ///< bytes of "%2e"
};

static bool is_visible(char c)
{
	return (unsigned char)c > ' ' && (unsigned char)c < DEL;
}

bool http_name_valid(const char *text)
{
	const char *p = text;

	while (is_visible(*p) && !strchr("\"(),/:;<=>?@[\\]{}", *p))
		p++;
	return p > text && !*p;
}

bool http_value_valid(const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if ((c < ' ' && c != '\t') || c == DEL)
			return false;
	}
	return true;
}

bool http_word_valid(const char *text)
{
	const char *p = text;

	while (is_visible(*p))
		p++;
	return p > text && !*p;
}

bool http_host_valid(const char *text)
{
	return http_word_valid(text) && !strpbrk(text, "/?#@\\,");
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return isxdigit((unsigned char)c) ? tolower((unsigned char)c) - 'a' + 10
					  : -1;
}

/* Next character of a path, with its percent-encoding taken off. */
static char next_char(const char **path)
{
	const char *p = *path;
	int high = *p == '%' ? hex_digit(p[1]) : -1;
	int low = high >= 0 ? hex_digit(p[2]) : -1;

	*path += low >= 0 ? ESCAPE_LEN : *p != '\0';
	return low >= 0 ? (char)(high * 16 + low) : *p;
}

/* Whether a segment names its own folder or the one above it. */
static bool is_dot_segment(const char *segment, const char *end)
{
	size_t dots = 0;

	while (segment < end) {
		if (next_char(&segment) != '.')
			return false;
		dots++;
	}
	return dots == 1 || dots == 2;
}

bool http_target_valid(const char *text)
{
	const char *query = text + strcspn(text, "?");

	if (*text != '/' || !http_word_valid(text) || strchr(text, '#'))
		return false;
	while (text < query) {
		const char *end = text + 1 + strcspn(text + 1, "/?");

		if (is_dot_segment(text + 1, end))
			return false;
		text = end;
	}
	return true;
}

bool http_path_valid(const char *text)
{
	return http_target_valid(text) && !strchr(text, '?');
}

bool http_path_is_below(const char *path, const char *segment)
{
	const char *p = path;
	char c;

	do {
		path = p;
		c = next_char(&p);
	} while (c == '/');
	for (; *segment; segment++) {
		if (tolower((unsigned char)next_char(&path)) !=
		    tolower((unsigned char)*segment))
			return false;
	}
	c = next_char(&path);
	return c == '/' || c == '?' || c == '\0';
}
