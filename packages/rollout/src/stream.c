// Go-back-N retransmission over a transport that may lose messages.
#include "stream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct stream *stream_new(const char *node, uint64_t id, uint64_t epoch,
			  int64_t now_ms)
{
	struct stream *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	snprintf(s->node, sizeof(s->node), "%s", node);
	s->id = id;
	s->epoch = epoch;
	s->progress_ms = now_ms;
	return s;
}

static void stream_pop(struct stream *s)
{
	struct stream_chunk *c = s->head;

	s->head = c->next;
	if (s->unsent == c)
		s->unsent = c->next;
	if (!s->head)
		s->tail = NULL;
	free(c->buf);
	free(c);
}

void stream_free(struct stream *s)
{
	if (!s)
		return;
	while (s->head)
		stream_pop(s);
	free(s);
}

static enum err stream_add(struct stream *s, const char *buf, size_t len,
			   bool last)
{
	struct stream_chunk *c = calloc(1, sizeof(*c));
	void *copy = malloc(len + 1);

	if (!c || !copy) {
		free(c);
		free(copy);
		return ERR_NOMEM;
	}
	memcpy(copy, buf, len);
	*c = (struct stream_chunk){copy, len, last, NULL};
	if (s->tail)
		s->tail->next = c;
	else
		s->head = c;
	s->tail = c;
	if (!s->unsent)
		s->unsent = c;
	s->last_seq++;
	return ERR_OK;
}

enum err stream_put(struct stream *s, const void *buf, size_t len,
		    int64_t now_ms)
{
	const char *p = buf;
	enum err e = ERR_OK;

	if (!s->head)
		s->progress_ms = now_ms;
	while (e == ERR_OK && len > STREAM_CHUNK_BYTES) {
		e = stream_add(s, p, STREAM_CHUNK_BYTES, false);
		p += STREAM_CHUNK_BYTES;
		len -= STREAM_CHUNK_BYTES;
	}
	if (e == ERR_OK)
		e = stream_add(s, p, len, true);
	return e;
}

void stream_pump(struct stream *s, int64_t now_ms,
		 void (*send)(void *ctx, const struct stream *s, uint64_t seq,
			      const struct stream_chunk *chunk),
		 void *ctx)
{
	struct stream_chunk *c;

	if (s->failed || !s->head)
		return;
	if (s->sent_seq > s->acked_seq &&
	    now_ms - s->progress_ms >= STREAM_RESEND_MS &&
	    now_ms - s->resent_ms >= STREAM_RESEND_MS) {
		s->sent_seq = s->acked_seq;
		s->unsent = s->head;
		s->in_flight = 0;
		s->resent_ms = now_ms;
	}
	while ((c = s->unsent)) {
		if (s->in_flight > 0 &&
		    s->in_flight + c->len > STREAM_WINDOW_BYTES)
			return;
		s->unsent = c->next;
		s->in_flight += c->len;
		send(ctx, s, ++s->sent_seq, c);
	}
}

void stream_ack(struct stream *s, uint64_t seq, int64_t now_ms)
{
	if (seq <= s->acked_seq || seq > s->last_seq)
		return;
	while (s->acked_seq < seq) {
		size_t len = s->head->len;

		s->in_flight -= len < s->in_flight ? len : s->in_flight;
		stream_pop(s);
		s->acked_seq++;
	}
	if (s->sent_seq < s->acked_seq)
		s->sent_seq = s->acked_seq;
	s->progress_ms = now_ms;
}

bool stream_is_synced(const struct stream *s)
{
	return !s->failed && s->snapshot_seq > 0 &&
	       s->acked_seq >= s->snapshot_seq;
}

bool stream_is_stalled(const struct stream *s, int64_t now_ms, int64_t limit_ms)
{
	return s->failed || (s->head && now_ms - s->progress_ms >= limit_ms);
}
