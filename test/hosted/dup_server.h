// Fake backend server that sends a duplicate of each response late: just before
// the response to the next request on the connection. One thread per connection.
#pragma once

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

enum {
	DUP_SERVER_LOG_MAX = 65536, ///< capacity of the request log
};

enum dup_kind {
	DUP_COMPLETE, ///< the unchanged response
	DUP_NO_ID, ///< without the request id
	DUP_TRUNCATED, ///< the head and half of the body
	DUP_NOT_RUN, ///< 503 marked as not run, with the earlier request id
	DUP_NOT_RUN_NO_ID, ///< the same without a request id
	DUP_FAILED, ///< 500 without a request id
	DUP_CUT, ///< up to any byte
	DUP_KINDS,
};

/// What happens to the first answer to each request; a second one is whole.
enum dup_answer {
	DUP_ANSWER_WHOLE,
	DUP_ANSWER_CUT, ///< at any byte, then the connection is closed
	DUP_ANSWER_UNFRAMED, ///< no length, and the connection is closed
	DUP_ANSWER_UNFRAMED_CUT, ///< the same after half of the body
	/// Whole without a length; further ones are cut at any byte.
	DUP_ANSWER_UNFRAMED_THEN_CUT,
	DUP_ANSWERS,
	/// All answers, until the node closes; to bodies that begin with "end" only.
	DUP_ANSWER_ENDLESS_BODY = DUP_ANSWERS,
	DUP_ANSWER_ENDLESS_CHUNKS,
	DUP_ANSWER_ENDLESS_HEAD,
	DUP_ANSWER_ENDLESS_LINE, ///< of a head
	DUP_ANSWERS_ENDLESS_END,
};

struct dup_server {
	int fd; ///< listening socket
	char addr[64]; ///< "IP:port" it listens on
	atomic_int kind; ///< enum dup_kind
	atomic_int answer; ///< enum dup_answer
	atomic_int n_cut; ///< answers and duplicates that were cut
	atomic_int n_duplicates; ///< duplicates sent
	pthread_mutex_t lock;
	char request_ids[DUP_SERVER_LOG_MAX][64]; ///< of the runs
	int n_requests;
};

/// Number of times it ran a request.
int dup_server_runs(struct dup_server *srv, const char *id);

/// Start listening on a port; the server runs until the process exits.
bool dup_server_start(struct dup_server *srv, const char *ip, int port);
