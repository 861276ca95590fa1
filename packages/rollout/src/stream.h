// Outgoing stream of operations to one copy: ordered, resent until
// acknowledged.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rollout/batch.h"

enum {
	STREAM_CHUNK = 256 * 1024, ///< bytes of an operation in one message
	STREAM_WINDOW = 1024 * 1024, ///< bytes sent and not acknowledged
	STREAM_RESEND_MS = 250,
};

struct stream_chunk {
	void *buf;
	size_t len;
	bool last; ///< ends an operation
	struct stream_chunk *next;
};

struct stream {
	char node[BATCH_NAME];
	uint64_t id; ///< unique at the owner
	uint64_t epoch; ///< that the copy is for
	struct stream_chunk *head; ///< oldest one not acknowledged
	struct stream_chunk *tail;
	struct stream_chunk *unsent; ///< next one to send, NULL for none
	uint64_t acked; ///< sequence number, 0 for none
	uint64_t last; ///< newest sequence number
	uint64_t sent;
	size_t in_flight; ///< bytes
	uint64_t whole_at; ///< sequence number that ends the first whole copy
	int64_t progress_ms; ///< last acknowledgement, or nothing to send
	int64_t resent_ms;
	bool dead; ///< the other side lost it or fenced it
};

struct stream *stream_new(const char *node, uint64_t id, uint64_t epoch,
			  int64_t now_ms);
void stream_free(struct stream *s);

/// Add an encoded operation, copied.
///
/// @return ERR_OK or ERR_NOMEM
enum err stream_put(struct stream *s, const void *buf, size_t len,
		    int64_t now_ms);

/// Send what the window and the resend time allow.
void stream_pump(struct stream *s, int64_t now_ms,
		 void (*send)(void *ctx, const struct stream *s, uint64_t seq,
			      const struct stream_chunk *chunk),
		 void *ctx);

/// Take an acknowledgement.
void stream_ack(struct stream *s, uint64_t seq, int64_t now_ms);

/// Whether the copy is whole.
bool stream_whole(const struct stream *s);

/// Whether nothing was acknowledged for a while though something was sent.
bool stream_stuck(const struct stream *s, int64_t now_ms, int64_t limit_ms);
