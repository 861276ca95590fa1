// Bytes behind a body: those that libcurl read with it, which it drops but shows to its debug
// function, and those that wait in the socket. The framing of chunks is checked on the way.
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "call.h"

enum {
	/// Wait for what follows a body that may end within a second answer. What a server
	/// sends in one piece arrives within a few round trips.
	SURPLUS_WAIT_MS = 100,
};

void surplus_watch(struct upstream_call *c)
{
	if ((c->head_check.has_length || c->head_check.chunked) &&
	    strcmp(c->opts.method, "HEAD") != 0)
		curl_easy_setopt(c->easy, CURLOPT_VERBOSE, 1L);
}

static bool reserve(struct upstream_call *c)
{
	if (c->surplus)
		return true;
	c->surplus = malloc(UPSTREAM_SURPLUS_MAX_BYTES);
	if (c->surplus)
		upstream_add_held(c->up, UPSTREAM_SURPLUS_MAX_BYTES);
	return c->surplus != NULL;
}

/* What follows would be taken for the start of the next answer. */
static void forbid_reuse(struct upstream_call *c)
{
	curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
}

/* Bytes behind the body among those that were read. */
static size_t surplus_of(struct upstream_call *c, const char *data, size_t len)
{
	size_t used = len;

	if (c->head_check.chunked) {
		c->garbled |=
			!chunk_check_feed(&c->chunk_check, data, len, &used);
		return len - used;
	}
	c->wire_body += len;
	if (c->wire_body <= c->head_check.length)
		return 0;
	return c->wire_body - c->head_check.length < len
		       ? (size_t)(c->wire_body - c->head_check.length)
		       : len;
}

int surplus_on_debug(CURL *easy, curl_infotype type, char *data, size_t len,
		     void *ctx)
{
	struct upstream_call *c = ctx;
	size_t n;

	if (type != CURLINFO_DATA_IN || c->garbled)
		return 0;
	n = surplus_of(c, data, len);
	if (!n)
		return 0;
	c->result.surplus += n;
	forbid_reuse(c);
	data += len - n;
	if (n > UPSTREAM_SURPLUS_MAX_BYTES)
		n = UPSTREAM_SURPLUS_MAX_BYTES;
	if (!c->head_check.chunked && reserve(c)) {
		memcpy(c->surplus, data, n);
		c->surplus_len = n;
	}
	return 0;
}

/* Add what waits in the socket.
 *
 * @param[out] ended  whether nothing more will come */
static size_t peek(struct upstream_call *c, bool *ended)
{
	size_t room = UPSTREAM_SURPLUS_MAX_BYTES - c->surplus_len;
	ssize_t n;

	*ended = true;
	if (c->fd == CURL_SOCKET_BAD || !room || !reserve(c))
		return c->surplus_len;
	n = recv(c->fd, c->surplus + c->surplus_len, room,
		 MSG_PEEK | MSG_DONTWAIT);
	*ended = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR) ||
		 (size_t)(n < 0 ? 0 : n) == room;
	if (n <= 0)
		return c->surplus_len;
	c->result.surplus = c->surplus_len + (size_t)n;
	return c->surplus_len + (size_t)n;
}

enum body_end surplus_check(struct upstream_call *c, const char *body,
			    size_t len)
{
	size_t piece = c->opts.streamed ? len : len - (size_t)c->body_seen;
	int64_t now = clock_now_ms();
	enum second_answer found;
	size_t n;
	bool ended;

	if (!c->head_check.has_length ||
	    c->body_seen + piece != c->head_check.length ||
	    !second_answer_may_begin(body, len))
		return BODY_END_WHOLE;
	n = peek(c, &ended);
	found = second_answer_find(&c->own_head, body, len,
				   c->surplus ? c->surplus : "", n);
	if (!c->surplus_until_ms)
		c->surplus_until_ms = now + SURPLUS_WAIT_MS;
	if (found == SECOND_MAYBE && !ended && now < c->surplus_until_ms)
		return BODY_END_WAIT;
	if (n)
		forbid_reuse(c);
	c->spliced = found == SECOND_FOUND;
	return c->spliced ? BODY_END_SPLICED : BODY_END_WHOLE;
}
