// Decides how one candidate takes, keeps and loses a named duty in the
// platform's key-value store. Pure: answers and `now` in, the next call out.
//
// The duty key belongs to a store lease, so it goes when the holder falls
// silent. Its epoch, the fencing number, is raised while the duty key is held;
// each later holder therefore has a higher one. A call whose reply was lost is
// settled by reading the key back and looking for this attempt's own id.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"

enum {
	LEASE_NODE_MAX = 96, ///< bytes of lease_opts.node, with the NUL
	LEASE_HOLDER_MAX = 128, ///< bytes of a holder id, with the NUL
};

/// Call that the candidate wants made next.
enum lease_op {
	LEASE_NONE, ///< nothing now
	LEASE_READ, ///< read the duty key
	LEASE_WATCH, ///< wait for a change of the duty key
	LEASE_GRANT, ///< grant a store lease
	LEASE_CREATE, ///< create the duty key under the store lease
	LEASE_READ_EPOCH, ///< read the epoch key
	LEASE_PUT_EPOCH, ///< raise the epoch key
	LEASE_RENEW, ///< renew the store lease
	LEASE_REVOKE, ///< end the store lease, and with it the duty key
};

struct lease_action {
	enum lease_op op;
	const char *holder; ///< id of this attempt, for CREATE and PUT_EPOCH
	uint64_t epoch; ///< for CREATE (0) and PUT_EPOCH
	uint64_t rev; ///< previous revision of a write, or after of WATCH
	uint64_t store_lease; ///< for CREATE, RENEW and REVOKE
	int64_t duration_ms; ///< time to live of GRANT, wait of WATCH
};

/// Answer to the last action.
struct lease_answer {
	enum err err; ///< as of struct kv_result
	const char *holder; ///< holder in the value that was read, "" if none
	uint64_t epoch; ///< epoch in the value that was read
	uint64_t rev; ///< of the key that was read; WATCH: of the store
	uint64_t store_lease; ///< of GRANT
	bool key_deleted; ///< WATCH saw the key go
	bool key_changed; ///< WATCH saw another value
};

struct lease_opts {
	const char *node; ///< unique id of this process's run
	int64_t ttl_ms; ///< time to live of the store lease
	int64_t margin_ms; ///< the holding ends this much before the store lease
	int64_t renew_ms; ///< from the start of a renewal to the next
	int64_t retry_ms; ///< least wait after a failure
	int64_t slow_ms; ///< between reads of a candidate that stands back
	int64_t takeover_delay_ms; ///< a later holder acts this long after it took over
	uint64_t seed; ///< of the waits
};

enum lease_state {
	LEASE_ST_READ,
	LEASE_ST_WATCH,
	LEASE_ST_GRANT,
	LEASE_ST_CREATE,
	LEASE_ST_READ_BACK,
	LEASE_ST_READ_EPOCH,
	LEASE_ST_PUT_EPOCH,
	LEASE_ST_HELD,
	LEASE_ST_REVOKE,
	LEASE_ST_ENDED,
};

/// One candidacy. The members are the package's own.
struct lease {
	struct lease_opts opts;
	enum lease_state state;
	struct rng rng;
	char node[LEASE_NODE_MAX];
	char holder[LEASE_HOLDER_MAX];
	uint64_t attempt; ///< number in the holder id
	uint64_t epoch; ///< of the holding, or the one to be written
	uint64_t rev; ///< of the key that was read last
	uint64_t store_lease;
	int64_t call_start_ms; ///< start of the outstanding call
	int64_t expires_ms; ///< earliest end of the store lease
	int64_t next_call_ms; ///< earliest next call
	bool call_outstanding; ///< a call is outstanding
	int64_t held_since_ms; ///< start of the holding
	bool use_watch; ///< watches the key
	bool releasing; ///< lease_release() was called
};

/// Begin a candidacy.
///
/// @param l     lease
/// @param opts  options; node is copied
void lease_init(struct lease *l, const struct lease_opts *opts);

/// Whether to watch the duty key (few candidates) or to read it now and then.
void lease_set_eager(struct lease *l, bool use_watch);

/// Next call to make. At most one is outstanding: LEASE_NONE until its answer.
///
/// @param now  clock_now_ms() time, taken before the call is sent
/// @return action; its pointers live as long as the lease
struct lease_action lease_next_action(struct lease *l, int64_t now);

/// Take the answer to the last action.
void lease_answer(struct lease *l, int64_t now, const struct lease_answer *ans);

/// Whether the duty is held.
///
/// @param[out] epoch     fencing number, may be NULL
/// @param[out] until_ms  end of the holding unless renewed, may be NULL
bool lease_held(const struct lease *l, int64_t now, uint64_t *epoch,
		int64_t *until_ms);

/// Whether the holder may act towards those that see no lease and would count
/// holders that take turns: not before takeover_delay_ms of a holding that is not the
/// first one. Of acts of A, of B after it and of A again, the first and the last
/// are at least two such spans apart, however short B's holding was.
///
/// @param[out] epoch  fencing number, may be NULL
bool lease_may_act(const struct lease *l, int64_t now, uint64_t *epoch);

/// Give the duty up for good; call when nothing more will be sent under it.
void lease_release(struct lease *l);

/// Whether a release is complete: no store lease is left to end. A read or a
/// watch may still be outstanding.
bool lease_ended(const struct lease *l);
