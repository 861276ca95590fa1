// Internal state of the duty module: one struct duty for each duty that this
// node campaigns for.
#pragma once

#include "candidacy.h"
#include "core/core.h"
#include "daemon/duty_mod.h"
#include "daemon/platform_mod.h"
#include "gate/gate.h"

enum {
	DUTY_MAX = 64, ///< duties that one node campaigns for
	DUTY_NAME_MAX = 96, ///< bytes, with the NUL
	DUTY_KEY_MAX = 256, ///< bytes, with the NUL
	DUTY_ORDERS_MAX = 128, ///< outstanding orders of a duty
	DUTY_RETRY_MS = 50, ///< least delay before a failed step is retried
	DUTY_INTENT_MAX_AGE_MS = 60000, ///< older ones are deleted unsent
};

enum duty_phase {
	DUTY_NOT_HELD, ///< not held
	DUTY_READING, ///< held; reading the intents of earlier holders
	DUTY_RESUMING, ///< held; resending their unfinished orders
	DUTY_READY, ///< held; accepts new orders
	DUTY_CLOSING, ///< lost or released; the gate's thread is ending
};

enum order_state {
	ORDER_WRITE_INTENT, ///< write the intent to the store
	ORDER_SEND, ///< hand the order to the gate
	ORDER_IN_FLIGHT, ///< the gate has it; no reply yet
	ORDER_DELETE_INTENT, ///< finished; delete the intent from the store
};

/// An order from its intent until the intent is deleted.
struct duty_order {
	htab_handle handle;
	int duty; ///< index of its duty in struct duties
	enum order_state state;
	bool store_pending; ///< a store call is outstanding
	bool maybe_in_flight; ///< an unanswered attempt may still arrive
	bool resumed; ///< intent written by an earlier holder
	uint64_t rev; ///< store revision of the intent, 0: not written
	int64_t next_step_ms; ///< earliest next step
	int64_t created_ms; ///< start of the order on this node
	char key[DUTY_KEY_MAX]; ///< store key of the intent
	char *path;
	char *body;
	size_t len; ///< bytes of body
	void (*fn)(struct core *c, void *ctx, enum err e, int status,
		   const char *body, size_t len); ///< NULL once called
	void *ctx;
};

struct duty {
	char name[DUTY_NAME_MAX];
	int index;
	struct candidacy cand;
	enum duty_phase phase;
	struct gate *gate;
	uint64_t epoch; ///< fencing token of the open gate
	int64_t send_after_ms; ///< no order is sent before this time
	int64_t ready_since_ms; ///< start of DUTY_READY
	int64_t next_list_ms; ///< earliest next listing of intents
	bool list_pending; ///< a store listing is outstanding
	uint64_t list_epoch; ///< epoch that the listing was started for
	struct htab *orders; ///< struct duty_order
};

struct duties {
	struct duty list[DUTY_MAX];
	int n;
	bool draining; ///< no new orders; duties are released
};

/// State of the module, NULL before it started.
struct duties *duty_state(const struct core *c);

/// Key prefix of a duty's intents in the store.
///
/// @param[out] buf  len bytes
void duty_intent_prefix(const struct duty *d, char *buf, size_t len);

/// Whether an order may be sent now: the gate is open, the lease is held and
/// both have the same epoch.
bool duty_may_send(struct core *c, const struct duty *d);

/// Start listing the intents of earlier holders, unless it is under way or a
/// retry is not due yet.
void duty_read_intents(struct core *c, struct duty *d);

/// Add an order and start writing its intent; see duty_mod_send().
enum err duty_order_add(struct core *c, struct duty *d, const char *path,
			const char *body, size_t len,
			void (*fn)(struct core *c, void *ctx, enum err e,
				   int status, const char *body, size_t len),
			void *ctx);

/// Resume an order from the intent that an earlier holder wrote. An intent that
/// is finished, malformed or too old is only deleted.
void duty_order_resume(struct core *c, struct duty *d,
		       const struct kv_item *item);

/// Do the next step of every order that is due. No-op while not held.
void duty_orders_step(struct core *c, struct duty *d);

/// Process all replies that the gate has queued.
void duty_orders_take_replies(struct core *c, struct duty *d);

/// Complete every order with an error after the duty was lost. Intents stay in
/// the store for the next holder.
void duty_orders_abort(struct core *c, struct duty *d);

/// Whether an order of an earlier holder is not finished yet.
bool duty_orders_resuming(const struct duty *d);

/// Free a duty's orders without calling their callbacks.
void duty_orders_free(struct duty *d);
