// Percent-encoding.
#include "base/url.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum {
	URL_ESCAPE_BYTES = 3, ///< length of "%XX"
};

static bool url_char_is_allowed(char ch)
{
	return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') ||
	       (ch >= '0' && ch <= '9') || strchr("/-._~", ch);
}

char *url_escape(struct arena *a, const char *text)
{
	char *buf = arena_alloc(a, URL_ESCAPE_BYTES * strlen(text) + 1);
	char *out = buf;

	if (!buf)
		return NULL;
	for (; *text; text++) {
		if (url_char_is_allowed(*text))
			*out++ = *text;
		else
			out += sprintf(out, "%%%02X", (unsigned char)*text);
	}
	*out = '\0';
	return buf;
}
