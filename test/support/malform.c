// Generates malformed requests, one function per kind.
#include "support/malform.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

__attribute__((format(printf, 2, 3))) static void put(struct malform *w,
						      const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(w->buf + w->len, sizeof(w->buf) - w->len, fmt, ap);
	va_end(ap);
	w->len += (size_t)n;
	assert(w->len < sizeof(w->buf));
}

static void put_random(struct malform *w, struct rng *rng, size_t len)
{
	while (len--)
		w->buf[w->len++] = (char)rng_next(rng);
}

static void put_fill(struct malform *w, char c, size_t len)
{
	memset(w->buf + w->len, c, len);
	w->len += len;
}

static void gen_bytes(struct malform *w, struct rng *rng)
{
	put_random(w, rng, 1 + rng_below(rng, 500));
	if (rng_below(rng, 2))
		put(w, "\r\n\r\n");
}

static void gen_request_line(struct malform *w, struct rng *rng)
{
	static const char *const lines[] = {
		"GET",
		"GET /",
		"GET / HTTP/9.9",
		"GET / HTTX/1.1",
		" GET / HTTP/1.1",
		"GET  /  HTTP/1.1",
		"get /healthz HTTP/1.1",
		"GET /\t HTTP/1.1",
		"GET / HTTP/1.1 more",
		"",
		"GET http:// HTTP/1.1",
		"GET * HTTP/1.1",
		"/ GET HTTP/1.1",
	};

	put(w, "%s\r\nHost: x\r\n\r\n",
	    lines[rng_below(rng, sizeof(lines) / sizeof(lines[0]))]);
}

static void gen_path(struct malform *w, struct rng *rng)
{
	put(w, "GET /v1/call/");
	switch (rng_below(rng, 5)) {
	case 0:
		put_fill(w, 'a', 30000);
		break;
	case 1:
		for (int i = 0; i < 20; i++)
			w->buf[w->len++] = (char)(1 + rng_below(rng, 31));
		break;
	case 2:
		put(w, "%%zz%%00%%%%../../etc/passwd");
		break;
	case 3:
		for (int i = 0; i < 20; i++)
			w->buf[w->len++] = (char)(128 + rng_below(rng, 128));
		break;
	default:
		put(w, "desk?a=%%g1&&&=&%%");
		break;
	}
	put(w, " HTTP/1.1\r\nHost: x\r\n\r\n");
}

static void gen_headers(struct malform *w, struct rng *rng)
{
	put(w, "POST /v1/call/desk/x HTTP/1.1\r\n");
	switch (rng_below(rng, 7)) {
	case 0:
		put(w, "no colon here\r\n");
		break;
	case 1:
		put(w, "X-Long: ");
		put_fill(w, 'b', 40000);
		put(w, "\r\n");
		break;
	case 2:
		for (int i = 0; i < 300; i++)
			put(w, "X-%d: %d\r\n", i, i);
		break;
	case 3:
		put(w, "Content-Length: -5\r\n");
		break;
	case 4:
		put(w, "Content-Length: 99999999999999999999999\r\n");
		break;
	case 5:
		put(w, "Content-Length: 5\r\nContent-Length: 7\r\n");
		break;
	default:
		put(w, "X: a");
		put_random(w, rng, 30);
		put(w, "\r\n");
		break;
	}
	put(w, "\r\nhello");
}

static void gen_framing(struct malform *w, struct rng *rng)
{
	static const char *const chunks[] = {
		"zz\r\nhello\r\n",
		"ffffffffffffffffff\r\nhello\r\n",
		"-1\r\n",
		"5\r\nhelloX",
		"5",
		"\r\n\r\n",
		"5;ext=1\r\nhe",
		"7fffffff\r\nhello",
	};

	put(w,
	    "POST /v1/call/desk/x HTTP/1.1\r\nHost: x\r\n"
	    "Transfer-Encoding: %s\r\n\r\n%s",
	    rng_below(rng, 4) ? "chunked" : "gzip, odd",
	    chunks[rng_below(rng, sizeof(chunks) / sizeof(chunks[0]))]);
}

static void gen_short_body(struct malform *w, struct rng *rng)
{
	put(w,
	    "POST /v1/call/desk/x HTTP/1.1\r\nHost: x\r\n"
	    "Content-Length: %d\r\n\r\n",
	    1000);
	put_fill(w, 'c', rng_below(rng, 1000));
}

static void gen_large_body(struct malform *w, struct rng *rng)
{
	size_t len = MALFORM_MAX_BODY + 1 + rng_below(rng, 100000);

	put(w, "POST /v1/call/desk/x HTTP/1.1\r\nHost: x\r\n");
	if (rng_below(rng, 2)) {
		put(w, "Content-Length: %zu\r\n\r\n", len);
		put_fill(w, 'd', len);
		return;
	}
	put(w, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", len);
	put_fill(w, 'd', len);
	put(w, "\r\n0\r\n\r\n");
}

static void gen_method(struct malform *w, struct rng *rng)
{
	static const char *const methods[] = {
		"TRACE",  "CONNECT", "FOO",
		"PATCH",  "DELETE",  "VERYLONGMETHODVERYLONGMETHOD",
		"G\x01T", "OPTIONS",
	};

	put(w, "%s /v1/rollouts HTTP/1.1\r\nHost: x\r\n\r\n",
	    methods[rng_below(rng, sizeof(methods) / sizeof(methods[0]))]);
}

static void gen_json(struct malform *w, struct rng *rng)
{
	static const char *const paths[] = {
		"/v1/generate/talk", "/v1/rollouts",  "/v1/rollouts/x/pull",
		"/v1/call/nothing",  "/v1/generate/",
	};
	static const char *const bodies[] = {
		"{",
		"[[[[[[[[[[",
		"{\"prompt\":\"x\"}",
		"\xff\xfe\x00",
		"null",
		"{\"prompt\":[1],\"max_tokens\":-1}",
		"{\"batch\":{}}",
		"{\"prompt\":[99999999999999999999]}",
		"\"",
		"{\"a\":1}x",
	};
	const char *body =
		bodies[rng_below(rng, sizeof(bodies) / sizeof(bodies[0]))];

	put(w,
	    "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    paths[rng_below(rng, sizeof(paths) / sizeof(paths[0]))],
	    rng_below(rng, 2) ? "ck_wrong" : "", strlen(body), body);
}

void malform_make(struct malform *w, enum malform_kind kind, struct rng *rng)
{
	static void (*const kinds[MALFORM_KINDS])(struct malform * w,
						  struct rng * rng) = {
		[MALFORM_BYTES] = gen_bytes,
		[MALFORM_REQUEST_LINE] = gen_request_line,
		[MALFORM_PATH] = gen_path,
		[MALFORM_HEADERS] = gen_headers,
		[MALFORM_FRAMING] = gen_framing,
		[MALFORM_SHORT_BODY] = gen_short_body,
		[MALFORM_LARGE_BODY] = gen_large_body,
		[MALFORM_METHOD] = gen_method,
		[MALFORM_JSON] = gen_json,
	};

	w->len = 0;
	kinds[kind](w, rng);
}
