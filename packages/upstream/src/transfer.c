// The libcurl transfer of a call: options, and callbacks for progress and answer.
#include "call.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "curl_client.h"

enum {
	MS_PER_S = 1000,
	UPSTREAM_BODY_MIN_BYTES = 1024, ///< initial bytes of a body buffer
	UPSTREAM_HEAD_MIN_BYTES = 512, ///< initial bytes of a head's copy
	UPSTREAM_SOURCE_LEN = 80, ///< bytes of "host!" and a local address
	/// TCP_USER_TIMEOUT: a connection ends if sent bytes stay unacknowledged for
	/// this long; several times the round trip between failure domains.
	UPSTREAM_UNACKED_MS = 2000,
};

static size_t body_cap_for(const struct upstream_call *c, size_t len)
{
	size_t cap = c->body_cap ? c->body_cap : UPSTREAM_BODY_MIN_BYTES;

	while (cap < c->result.body_len + len + 1)
		cap *= 2;
	return cap;
}

static bool body_append(struct upstream_call *c, const char *data, size_t len)
{
	struct upstream_result *r = &c->result;
	size_t cap = body_cap_for(c, len);
	char *p;

	if (cap != c->body_cap) {
		p = realloc(r->body, cap);
		if (!p)
			return false;
		r->body = p;
		upstream_add_held(c->up, cap - c->body_cap);
		c->body_cap = cap;
	}
	memcpy(r->body + r->body_len, data, len);
	r->body_len += len;
	r->body[r->body_len] = '\0';
	return true;
}

/// Post the head of a streamed answer at the latest with the first byte of the body,
/// so that a full queue pauses the body at once.
static bool head_post(struct upstream_call *c)
{
	long status = 0;

	if (!c->opts.want_head || c->head_posted)
		return true;
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	c->result.status = (int)status;
	c->head_posted = upstream_post_head(c);
	return c->head_posted;
}

static size_t pause_reading(struct upstream_call *c)
{
	c->paused = true;
	return CURL_WRITEFUNC_PAUSE;
}

static size_t stream_piece(struct upstream_call *c, const char *data,
			   size_t len)
{
	enum body_end end;

	if (c->id_carry && !c->piece_checked)
		c->spliced |= second_answer_in_piece(&c->own_head, c->id_carry,
						     data, len);
	c->piece_checked = true;
	end = c->spliced ? BODY_END_SPLICED : surplus_check(c, data, len);
	if (end == BODY_END_SPLICED)
		return 0;
	if (end == BODY_END_WAIT || !head_post(c) ||
	    !upstream_post_data(c, data, len))
		return pause_reading(c);
	c->piece_checked = false;
	c->body_seen += len;
	return len;
}

/// The body's last bytes are delivered again while it is waited for what follows them.
static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct upstream_call *c = ctx;
	size_t len = size * n;
	size_t more;
	enum body_end end;

	c->last_progress_ms = clock_now_ms();
	if (c->garbled)
		return 0;
	if (c->opts.streamed)
		return stream_piece(c, data, len);
	more = body_cap_for(c, len) - c->body_cap;
	if (c->result.body_len + len > c->opts.max_body ||
	    (more && upstream_call_is_greedy(c, more))) {
		c->too_large = true;
		return 0;
	}
	if (more && upstream_call_must_pause(c, more))
		return pause_reading(c);
	if (!body_append(c, data, len))
		return 0;
	end = surplus_check(c, c->result.body, c->result.body_len);
	if (end == BODY_END_WAIT) {
		c->result.body_len -= len;
		return pause_reading(c);
	}
	c->body_seen += len;
	return end == BODY_END_SPLICED ? 0 : len;
}

/// Keep the first lines of the final answer's head.
static bool own_head_add(struct upstream_call *c, const char *line, size_t len)
{
	struct own_head *own = &c->own_head;
	size_t cap = own->cap ? own->cap : UPSTREAM_HEAD_MIN_BYTES;
	char *p;

	if (len > 5 && strncmp(line, "HTTP/", 5) == 0)
		own->len = 0;
	if (own->len + len > OWN_HEAD_MAX_BYTES)
		return true;
	while (cap < own->len + len)
		cap *= 2;
	if (cap != own->cap) {
		p = realloc(own->text, cap);
		if (!p)
			return false;
		upstream_add_held(c->up, cap - own->cap);
		own->text = p;
		own->cap = cap;
	}
	memcpy(own->text + own->len, line, len);
	own->len += len;
	return true;
}

/// An answer to another request: what the connection brings next is not known either.
static void check_own_id(struct upstream_call *c)
{
	const struct upstream_head *h = &c->result.head;
	const struct own_head *own = &c->own_head;

	for (size_t i = 0; own->id_name && i < h->n; i++) {
		if (strcasecmp(h->names[i], own->id_name) == 0 &&
		    strcmp(h->values[i], own->id_value) != 0)
			curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

/// Store one "Name: value" line. A status line starts a new answer, such as the
/// final one after an interim one, and clears the fields.
static void head_add_line(struct upstream_call *c, const char *line, size_t len)
{
	struct upstream_head *h = &c->result.head;
	const char *colon = memchr(line, ':', len);
	const char *end = line + len;
	const char *value;

	if (len > 5 && strncmp(line, "HTTP/", 5) == 0) {
		h->n = 0;
		return;
	}
	if (!colon || colon == line)
		return;
	if (h->n == UPSTREAM_MAX_HEADERS) {
		c->head_overflow = true;
		return;
	}
	value = colon + 1;
	while (value < end && (*value == ' ' || *value == '\t'))
		value++;
	while (end > value && strchr(" \t\r\n", end[-1]))
		end--;
	h->names[h->n] = arena_strndup(&c->arena, line, (size_t)(colon - line));
	h->values[h->n] =
		arena_strndup(&c->arena, value, (size_t)(end - value));
	if (h->names[h->n] && h->values[h->n])
		h->n++;
}

/// Post the head as soon as it is complete: its information about the server is
/// needed even if the call is cancelled before the body ends. If the queue is full,
/// it is posted with the body's first byte or comes with UPSTREAM_DONE.
static void head_post_early(struct upstream_call *c)
{
	head_post(c);
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct upstream_call *c = ctx;

	/* Only the first line is progress: a server may send lines without end. */
	if (!c->head_len)
		c->last_progress_ms = clock_now_ms();
	c->head_len += size * n;
	upstream_add_held(c->up, size * n);
	if (c->head_len > UPSTREAM_HEAD_MAX_BYTES || upstream_head_is_greedy(c))
		return 0;
	c->garbled |= !head_check_line(&c->head_check, data, size * n);
	if (c->garbled || !own_head_add(c, data, size * n))
		return 0;
	if (c->opts.want_head)
		head_add_line(c, data, size * n);
	if (c->head_check.complete && !c->body_begun) {
		c->body_begun = true;
		surplus_watch(c);
		check_own_id(c);
	}
	if (c->opts.tag && c->head_check.complete && !c->head_overflow)
		head_post_early(c);
	/* An answer that can't be forwarded completely must not be forwarded. */
	return c->head_overflow ? 0 : size * n;
}

/// Limit the time that sent bytes stay unacknowledged; the kernel's retransmissions
/// alone take minutes. Closing resets the connection: the kernel discards what the
/// other side has not received, so that an abandoned request is not delivered after
/// a network partition heals.
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	const struct upstream *up = ctx;
	unsigned int ms = UPSTREAM_UNACKED_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	if (up->opts.send_buffer)
		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &up->opts.send_buffer,
			   sizeof(up->opts.send_buffer));
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return CURL_SOCKOPT_OK;
}

/// libcurl retries a request when a reused connection turns out to be dead. The
/// server may have run the request, so only one attempt is allowed.
static int on_request(void *ctx, char *ip, char *local_ip, int port,
		      int local_port)
{
	struct upstream_call *c = ctx;

	c->last_progress_ms = clock_now_ms();
	if (c->opts.send_until_ms &&
	    c->last_progress_ms > c->opts.send_until_ms) {
		c->send_expired = true;
		return CURL_PREREQFUNC_ABORT;
	}
	c->attempts++;
	return c->attempts > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static bool header_add(struct upstream_call *c, const char *line)
{
	struct curl_slist *l = curl_slist_append(c->headers, line);

	if (!l)
		return false;
	c->headers = l;
	return true;
}

static bool setup_headers(struct upstream_call *c)
{
	const char *const *h = c->opts.headers;
	bool typed = false;

	for (; h && *h; h++) {
		if (strncasecmp(*h, "Content-Type:", 13) == 0)
			typed = true;
		if (!header_add(c, *h))
			return false;
	}
	if (!typed && !header_add(c, "Content-Type:"))
		return false;
	if (!header_add(c, "Expect:") || !header_add(c, "Accept:"))
		return false;
	return curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers) ==
	       CURLE_OK;
}

static void setup_method(struct upstream_call *c)
{
	const struct upstream_call_opts *o = &c->opts;

	if (strcmp(o->method, "HEAD") == 0) {
		curl_easy_setopt(c->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (o->body_len || strcmp(o->method, "POST") == 0 ||
	    strcmp(o->method, "PUT") == 0) {
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)o->body_len);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, o->body);
	}
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, o->method);
}

static void setup_limits(struct upstream_call *c)
{
	const struct upstream_call_opts *o = &c->opts;
	long age = (long)((o->max_idle_age_ms + MS_PER_S - 1) / MS_PER_S);

	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)o->connect_timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_MAXAGE_CONN, age > 0 ? age : 1L);
	curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, o->fresh ? 1L : 0L);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(c->easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(c->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c->easy, CURLOPT_PATH_AS_IS, 1L);
}

/* "host!" keeps libcurl from treating the address as an interface name. */
static void setup_source(struct upstream_call *c)
{
	const char *source = c->up->opts.source;
	char name[UPSTREAM_SOURCE_LEN];

	if (!source || !*source)
		return;
	snprintf(name, sizeof(name), "host!%s", source);
	curl_easy_setopt(c->easy, CURLOPT_INTERFACE, name);
}

static void setup_callbacks(struct upstream_call *c)
{
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_DEBUGFUNCTION, surplus_on_debug);
	curl_easy_setopt(c->easy, CURLOPT_DEBUGDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_PREREQFUNCTION, on_request);
	curl_easy_setopt(c->easy, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(c->easy, CURLOPT_SOCKOPTDATA, c->up);
}

bool call_setup(struct upstream_call *c)
{
	c->easy = curl_easy_init();
	if (!c->easy)
		return false;
	if (curl_easy_setopt(c->easy, CURLOPT_URL, c->opts.url) != CURLE_OK)
		return false;
	setup_method(c);
	setup_limits(c);
	setup_callbacks(c);
	setup_source(c);
	return setup_headers(c);
}
