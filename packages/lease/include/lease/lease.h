// State machine by which one candidate acquires, renews and loses a named duty
// in the platform's key-value store. Pure: takes answers and `now`, returns the
// next call to make.
//
// The duty key is bound to a store lease, so it is deleted when the holder stops
// renewing. The epoch (fencing number) is incremented while the duty key is held,
// so each later holder has a higher one. When the reply to a write is lost, the
// candidate reads the key back and looks for this attempt's own id.
//
// Load pattern: the store is away for longer than the duty may be held. It deletes no
// key while it is away, so the key is still that of the last holder. If that can renew
// its store lease, nobody else held the duty meanwhile and it goes on with its epoch;
// otherwise all wait until the key is deleted.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"

enum {
	LEASE_NODE_MAX = 96, ///< bytes of lease_opts.node, with the NUL
	LEASE_HOLDER_MAX = 128, ///< bytes of a holder id, with the NUL
};

/// Call to make next.
enum lease_op {
	LEASE_NONE, ///< nothing now
	LEASE_READ, ///< read the duty key
	LEASE_WATCH, ///< wait for a change of the duty key
	LEASE_GRANT, ///< grant a store lease
	LEASE_CREATE, ///< create the duty key under the store lease
	LEASE_READ_EPOCH, ///< read the epoch key
	LEASE_PUT_EPOCH, ///< increment the epoch key
	LEASE_RENEW, ///< renew the store lease
	LEASE_REVOKE, ///< revoke the store lease, which deletes the duty key
};

struct lease_action {
	enum lease_op op;
	const char *holder; ///< id of this attempt, for CREATE and PUT_EPOCH
	uint64_t epoch; ///< for CREATE (0) and PUT_EPOCH
	uint64_t rev; ///< expected by a write; WATCH: changes after this one
	uint64_t store_lease; ///< for CREATE, RENEW and REVOKE
	int64_t duration_ms; ///< TTL of GRANT, timeout of WATCH
};

/// Answer to the last action.
struct lease_answer {
	enum err err; ///< as in struct kv_result
	const char *holder; ///< holder in the value that was read, "" if none
	uint64_t epoch; ///< epoch in the value that was read
	uint64_t
		rev; ///< revision of the key that was read; WATCH: of the store
	uint64_t store_lease; ///< of GRANT
	bool key_deleted; ///< WATCH: the key was deleted
	bool key_changed; ///< WATCH: the key has another value
};

struct lease_opts {
	const char *node; ///< unique id of this run of the process
	int64_t ttl_ms; ///< TTL of the store lease
	int64_t margin_ms; ///< the duty ends this long before the store lease
	int64_t renew_ms; ///< from the start of one renewal to the next
	int64_t retry_ms; ///< minimum delay after a failure
	int64_t standby_poll_ms; ///< poll interval of a candidate that doesn't watch
	int64_t takeover_delay_ms; ///< from a takeover to the first action
	/// Go on with a duty that lapsed while its store lease can still be renewed.
	bool resume;
	uint64_t seed; ///< of the jitter
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
	LEASE_ST_LAPSED, ///< not held; the store lease may still exist
	LEASE_ST_REVOKE,
	LEASE_ST_ENDED,
};

/// State of one candidate. The members are private to the package.
struct lease {
	struct lease_opts opts;
	enum lease_state state;
	struct rng rng;
	char node[LEASE_NODE_MAX];
	char holder[LEASE_HOLDER_MAX];
	uint64_t attempt; ///< number in the holder id
	uint64_t epoch; ///< held, or to be written
	uint64_t rev; ///< of the key that was read last
	uint64_t store_lease;
	int64_t call_start_ms;
	int64_t expires_ms; ///< earliest expiry of the store lease
	int64_t next_call_ms;
	bool call_outstanding;
	int64_t held_since_ms;
	bool use_watch; ///< watch the duty key instead of polling it
	bool releasing; ///< lease_release() was called
};

/// Initialize a candidate.
///
/// @param l     lease
/// @param opts  options; node is copied
void lease_init(struct lease *l, const struct lease_opts *opts);

/// Set whether to watch the duty key (few candidates) or to poll it.
void lease_set_watch(struct lease *l, bool use_watch);

/// Return the next call to make. At most one is outstanding: LEASE_NONE until its
/// answer was passed to lease_answer().
///
/// @param now  clock_now_ms() time, taken before the call is sent
/// @return action; its pointers live as long as the lease
struct lease_action lease_next_action(struct lease *l, int64_t now);

/// Process the answer to the last action.
void lease_answer(struct lease *l, int64_t now, const struct lease_answer *ans);

/// Whether the duty is held.
///
/// @param[out] epoch     fencing number, may be NULL
/// @param[out] until_ms  end of the duty unless renewed, may be NULL
bool lease_held(const struct lease *l, int64_t now, uint64_t *epoch,
		int64_t *until_ms);

/// Whether the holder may act towards receivers that don't see the lease and would
/// count alternating holders as a fault. Every holder but the first ever (epoch 1)
/// waits takeover_delay_ms after its takeover. If A acts, then B, then A again, the
/// first and the last action are therefore at least two such delays apart, however
/// briefly B held the duty.
///
/// @param[out] epoch  fencing number, may be NULL
bool lease_may_act(const struct lease *l, int64_t now, uint64_t *epoch);

/// Give the duty up permanently; call when nothing more will be sent under it.
void lease_release(struct lease *l);

/// Whether a release is complete: no store lease is left to revoke. A read or a
/// watch may still be outstanding.
bool lease_ended(const struct lease *l);
