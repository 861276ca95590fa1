// Reference-counted calls: creation, release, and the result of a transfer.
#include "call.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/metric.h"

static const char *const *copy_headers(struct arena *a, const char *const *src)
{
	size_t n = 0;
	const char **dst;

	if (!src)
		return NULL;
	while (src[n])
		n++;
	dst = arena_alloc(a, (n + 1) * sizeof(*dst));
	for (size_t i = 0; dst && i < n; i++) {
		dst[i] = arena_strdup(a, src[i]);
		if (!dst[i])
			return NULL;
	}
	return dst;
}

/* Find the id among the request's fields. */
static void note_id(struct upstream_call *c, const char *name)
{
	size_t len = name ? strlen(name) : 0;

	for (const char *const *h = c->opts.headers; len && h && *h; h++) {
		if (strncasecmp(*h, name, len) != 0 || (*h)[len] != ':')
			continue;
		c->own_head.id_name = arena_strdup(&c->arena, name);
		c->own_head.id_value = *h + len + 1 + strspn(*h + len + 1, " ");
		if (!*c->own_head.id_value)
			c->own_head.id_name = NULL;
		if (c->own_head.id_name && c->opts.streamed)
			c->id_carry =
				arena_alloc(&c->arena, sizeof(*c->id_carry));
		if (c->id_carry)
			c->id_carry->len = 0;
		return;
	}
}

static bool copy_opts(struct upstream_call *c,
		      const struct upstream_call_opts *o)
{
	c->opts = *o;
	c->opts.method = arena_strdup(&c->arena, o->method);
	c->opts.url = arena_strdup(&c->arena, o->url);
	c->opts.headers = copy_headers(&c->arena, o->headers);
	c->opts.id_field = NULL;
	note_id(c, o->id_field);
	c->opts.body = arena_strndup(&c->arena, o->body, o->body_len);
	return c->opts.method && c->opts.url && c->opts.body &&
	       (c->opts.headers || !o->headers);
}

struct upstream_call *call_new(struct upstream *up,
			       const struct upstream_call_opts *opts)
{
	struct upstream_call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	atomic_init(&c->refs, 1);
	c->up = up;
	c->fd = CURL_SOCKET_BAD;
	c->start_cmd = (struct call_cmd){CALL_START, c};
	c->cancel_cmd = (struct call_cmd){CALL_CANCEL, c};
	c->start_us = clock_now_us();
	arena_init(&c->arena, 0);
	if (copy_opts(c, opts)) {
		upstream_add_held(up, c->opts.body_len);
		return c;
	}
	arena_free(&c->arena);
	free(c);
	return NULL;
}

void call_ref(struct upstream_call *c)
{
	atomic_fetch_add(&c->refs, 1);
}

void call_unref(struct upstream_call *c)
{
	struct upstream *up = c->up;

	if (atomic_fetch_sub(&c->refs, 1) != 1)
		return;
	upstream_sub_held(
		up, c->opts.body_len + c->body_cap + c->head_len +
			    c->own_head.cap +
			    (c->surplus ? UPSTREAM_SURPLUS_MAX_BYTES : 0));
	free(c->result.body);
	free(c->own_head.text);
	free(c->surplus);
	arena_free(&c->arena);
	free(c);
	upstream_call_freed(up);
}

void call_free_transfer(struct upstream_call *c)
{
	if (c->easy)
		curl_easy_cleanup(c->easy);
	c->easy = NULL;
	curl_slist_free_all(c->headers);
	c->headers = NULL;
}

/* libcurl saw no error. */
static enum err end_error(const struct upstream_call *c)
{
	if (!c->head_check.complete)
		return ERR_UP_BROKEN;
	if (c->result.framing != UPSTREAM_BY_LENGTH && c->result.body_len &&
	    second_answer_has_own_id(&c->own_head, c->result.body,
				     c->result.body_len))
		return ERR_UP_SPLICED;
	if (c->result.framing == UPSTREAM_BY_CLOSE)
		return ERR_UP_UNFRAMED;
	if (c->result.framing == UPSTREAM_BY_LENGTH &&
	    c->body_seen != c->head_check.length)
		return ERR_UP_BROKEN;
	return ERR_OK;
}

static enum err call_error(const struct upstream_call *c, CURLcode code)
{
	if (c->too_large)
		return ERR_TOO_LARGE;
	if (c->spliced)
		return ERR_UP_SPLICED;
	if (c->idle_expired || c->send_expired)
		return ERR_TIMEOUT;
	if (c->garbled)
		return ERR_UP_GARBLED;
	switch (code) {
	case CURLE_OK:
		return end_error(c);
	case CURLE_OPERATION_TIMEDOUT:
		return ERR_TIMEOUT;
	case CURLE_WEIRD_SERVER_REPLY:
		return ERR_UP_GARBLED;
	case CURLE_URL_MALFORMAT:
	case CURLE_UNSUPPORTED_PROTOCOL:
		/* Also for bytes in place of a status line. */
		return c->attempts ? ERR_UP_GARBLED : ERR_INVALID;
	case CURLE_OUT_OF_MEMORY:
		return ERR_NOMEM;
	default:
		return c->result.sent ? ERR_UP_BROKEN : ERR_UP_CONNECT;
	}
}

/// A byte may have been sent if libcurl counted one, or if on_request() stopped a
/// retry by libcurl: the first attempt wrote the request and got no answer.
static bool call_maybe_sent(const struct upstream_call *c, long request_size)
{
	return request_size > 0 || c->attempts > 1 || c->result.status > 0;
}

/* A head that was cut off says nothing: what would have followed may contradict it. */
static void drop_partial_head(struct upstream_call *c)
{
	if (c->head_check.complete)
		return;
	c->result.status = 0;
	c->result.head.n = 0;
	c->result.ctype[0] = '\0';
}

static enum upstream_framing framing_of(const struct upstream_call *c)
{
	const struct head_check *h = &c->head_check;

	if (!h->complete || h->no_body || strcmp(c->opts.method, "HEAD") == 0)
		return UPSTREAM_NO_BODY;
	if (h->chunked)
		return UPSTREAM_BY_CHUNKS;
	return h->has_length ? UPSTREAM_BY_LENGTH : UPSTREAM_BY_CLOSE;
}

/* Ended calls wait for the receiver, which may be busy: what it can't use is not kept. */
static void drop_partial_body(struct upstream_call *c)
{
	struct upstream_result *r = &c->result;

	if (r->err == ERR_OK || r->err == ERR_UP_UNFRAMED)
		return;
	free(r->body);
	upstream_sub_held(c->up, c->body_cap);
	c->body_cap = 0;
	r->body = NULL;
	r->body_len = 0;
}

void call_finish(struct upstream_call *c, CURLcode code)
{
	struct upstream_result *r = &c->result;
	const char *ctype = NULL;
	long status = 0;
	long size = 0;
	long connects = 0;

	if (c->easy) {
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &size);
		curl_easy_getinfo(c->easy, CURLINFO_CONTENT_TYPE, &ctype);
		curl_easy_getinfo(c->easy, CURLINFO_NUM_CONNECTS, &connects);
	}
	r->status = (int)status;
	r->sent = call_maybe_sent(c, size);
	r->reused = connects == 0;
	r->framing = framing_of(c);
	r->err = call_error(c, code);
	r->total_us = clock_now_us() - c->start_us;
	if (ctype && strlen(ctype) < sizeof(r->ctype))
		strcpy(r->ctype, ctype);
	if (r->err == ERR_UP_SPLICED)
		metric_add(M_UP_SPLICED, 1);
	if (r->err == ERR_UP_UNFRAMED)
		metric_add(M_UP_UNFRAMED, 1);
	if (r->surplus)
		metric_add(M_UP_SURPLUS, 1);
	r->received = c->body_seen;
	drop_partial_head(c);
	drop_partial_body(c);
	call_free_transfer(c);
}
