// Look-up of a request's header fields and query parameters.
#include <string.h>
#include <strings.h>

#include "http/http.h"

const char *http_req_header(const struct http_req *r, const char *name)
{
	for (size_t i = 0; i < r->n_headers; i++) {
		if (strcasecmp(r->headers[i].name, name) == 0)
			return r->headers[i].value;
	}
	return NULL;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static char *query_decode(struct arena *a, const char *s, size_t len)
{
	char *out = arena_strndup(a, s, len);
	size_t n = 0;

	for (size_t i = 0; out && i < len; i++) {
		char c = s[i] == '+' ? ' ' : s[i];

		if (c == '%') {
			bool room = i + 2 < len;
			int hi = room ? hex_digit(s[i + 1]) : -1;
			int lo = room ? hex_digit(s[i + 2]) : -1;

			if (hi < 0 || lo < 0)
				return NULL;
			c = (char)(hi * 16 + lo);
			i += 2;
		}
		out[n++] = c;
	}
	if (out)
		out[n] = '\0';
	return out;
}

const char *http_req_query(struct http_req *r, const char *name)
{
	size_t name_len = strlen(name);
	const char *p = r->query;

	while (*p) {
		size_t len = strcspn(p, "&");

		if (len > name_len && p[name_len] == '=' &&
		    strncmp(p, name, name_len) == 0)
			return query_decode(&r->arena, p + name_len + 1,
					    len - name_len - 1);
		p += len;
		if (*p)
			p++;
	}
	return NULL;
}
