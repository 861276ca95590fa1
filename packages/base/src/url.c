// Percent-encoding.
#include "base/url.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum {
	URL_ESCAPE = 3, ///< bytes of an encoded byte
};

static bool url_plain(char ch)
{
	return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') ||
	       (ch >= '0' && ch <= '9') || strchr("/-._~", ch);
}

char *url_escape(struct arena *a, const char *text)
{
	char *buf = arena_alloc(a, URL_ESCAPE * strlen(text) + 1);
	char *to = buf;

	if (!buf)
		return NULL;
	for (; *text; text++) {
		if (url_plain(*text))
			*to++ = *text;
		else
			to += sprintf(to, "%%%02X", (unsigned char)*text);
	}
	*to = '\0';
	return buf;
}
