// Messages between the rollout modules of different nodes.
#pragma once

#include "pack.h"
#include "rollout/pull.h"
#include "rollout/record.h"

/// Result of a chunk of operations.
enum copy_status {
	COPY_OK,
	COPY_UNKNOWN_STREAM, ///< or broken copy: start a new stream
	COPY_FENCED, ///< the copy's node is taking over
};

struct msg_op {
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	uint64_t epoch;
	uint64_t stream;
	uint64_t seq;
	bool last; ///< last chunk of an operation
	const void *buf; ///< inside the message
	size_t len; ///< bytes
};

struct msg_ack {
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	uint64_t stream;
	uint64_t acked;
	enum copy_status status;
};

/// A part of a forwarded request or of its reply.
struct msg_part {
	uint64_t id; ///< of the request, at the node that forwards it
	uint64_t part; ///< index from 0
	uint64_t parts;
	const void *buf; ///< inside the message
	size_t len; ///< bytes
};

struct msg_request {
	bool take_over; ///< owner is dead or stateless: backup takes over
	struct batch *batch; ///< of a POST, else NULL
	struct pull pull;
};

struct msg_reply {
	enum err err;
	bool not_owner; ///< try another node
	bool state_lost; ///< the record names this node, but its state is lost
	uint64_t slots; ///< of a POST
	bool known; ///< of a POST: the batch was accepted before
	struct pull_reply pull;
};

/// Query for the owner of a trainer's batches, and its reply.
struct msg_owner {
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	struct record record; ///< in the reply
};

void *msg_op_encode(const struct msg_op *m, size_t *len);
/// buf stays valid while the reader is open.
enum err msg_op_decode(struct unpack *u, const void *buf, size_t len,
		       struct msg_op *m);
void *msg_ack_encode(const struct msg_ack *m, size_t *len);
enum err msg_ack_decode(const void *buf, size_t len, struct msg_ack *m);
void *msg_part_encode(const struct msg_part *m, size_t *len);
enum err msg_part_decode(struct unpack *u, const void *buf, size_t len,
			 struct msg_part *m);
void *msg_request_encode(const struct msg_request *m, size_t *len);
enum err msg_request_decode(const void *buf, size_t len, struct msg_request *m);
void msg_request_clear(struct msg_request *m);
void *msg_reply_encode(const struct msg_reply *m, size_t *len);
enum err msg_reply_decode(const void *buf, size_t len, struct msg_reply *m);
void msg_reply_clear(struct msg_reply *m);
void *msg_owner_encode(const struct msg_owner *m, size_t *len);
enum err msg_owner_decode(const void *buf, size_t len, struct msg_owner *m);
