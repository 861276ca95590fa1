// Outgoing stream of operations to one copy: ordered, retransmitted until
// acknowledged.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rollout/batch.h"

enum {
	STREAM_CHUNK_BYTES = 256 * 1024, ///< bytes of an operation per message
	STREAM_WINDOW_BYTES = 1024 * 1024, ///< limit of bytes in flight
	STREAM_RESEND_MS = 250,
};

struct stream_chunk {
	void *buf;
	size_t len;
	bool last; ///< last chunk of an operation
	struct stream_chunk *next;
};

struct stream {
	char node[BATCH_NAME_SIZE];
	uint64_t id; ///< unique at the owner
	uint64_t epoch; ///< of the record that names the copy
	struct stream_chunk *head; ///< oldest unacknowledged chunk
	struct stream_chunk *tail;
	struct stream_chunk *unsent; ///< next chunk to send, NULL for none
	uint64_t acked_seq; ///< 0 for none
	uint64_t last_seq; ///< newest chunk
	uint64_t sent_seq;
	size_t in_flight; ///< bytes
	uint64_t snapshot_seq; ///< sequence number of the snapshot's last chunk
	int64_t progress_ms; ///< last ack, or first chunk after an empty queue
	int64_t resent_ms;
	bool failed; ///< lost or fenced by the receiver
};

struct stream *stream_new(const char *node, uint64_t id, uint64_t epoch,
			  int64_t now_ms);
void stream_free(struct stream *s);

/// Append an encoded operation; it is copied.
///
/// @return ERR_OK or ERR_NOMEM
enum err stream_put(struct stream *s, const void *buf, size_t len,
		    int64_t now_ms);

/// Send what the window allows; retransmit after STREAM_RESEND_MS.
void stream_pump(struct stream *s, int64_t now_ms,
		 void (*send)(void *ctx, const struct stream *s, uint64_t seq,
			      const struct stream_chunk *chunk),
		 void *ctx);

/// Acknowledges all chunks up to seq.
void stream_ack(struct stream *s, uint64_t seq, int64_t now_ms);

/// Whether the complete snapshot is acknowledged.
bool stream_is_synced(const struct stream *s);

/// Whether it failed, or chunks wait for limit_ms without progress.
bool stream_is_stalled(const struct stream *s, int64_t now_ms,
		       int64_t limit_ms);
