// Internal state of the duty module.
#pragma once

#include "candidacy.h"
#include "core/core.h"
#include "daemon/duty_mod.h"
#include "daemon/platform_mod.h"
#include "gate/gate.h"

enum {
	DUTY_MAX = 64, ///< campaigns of one node
	DUTY_NAME_MAX = 96,
	DUTY_KEY_MAX = 256,
	DUTY_ORDERS_MAX = 128, ///< outstanding orders of a duty
	DUTY_RETRY_MS = 50, ///< least retry delay
	DUTY_INTENT_MAX_AGE_MS = 60000, ///< older ones are deleted unsent
};

enum duty_phase {
	DUTY_NOT_HELD,
	DUTY_READING, ///< held; reads the intents of earlier holders
	DUTY_RESUMING, ///< held; resends their orders
	DUTY_READY, ///< held; accepts new orders
	DUTY_CLOSING, ///< lost or released; the gate's thread is ending
};

enum order_state {
	ORDER_WRITE_INTENT,
	ORDER_SEND, ///< to be handed to the gate
	ORDER_IN_FLIGHT, ///< no reply yet
	ORDER_DELETE_INTENT,
};

/// An order from its intent until the intent is deleted.
struct duty_order {
	htab_handle handle;
	int duty; ///< index of its duty
	enum order_state state;
	bool store_pending;
	bool maybe_in_flight; ///< an unanswered attempt may arrive
	bool resumed; ///< from an earlier holder's intent
	uint64_t rev; ///< of the intent, 0: not written
	int64_t next_step_ms; ///< earliest next step
	int64_t created_ms;
	char key[DUTY_KEY_MAX]; ///< of the intent
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
	uint64_t epoch; ///< fencing token of the gate
	int64_t send_after_ms; ///< nothing is sent before
	int64_t ready_since_ms;
	int64_t next_list_ms;
	bool list_pending;
	uint64_t list_epoch; ///< epoch of that listing
	struct htab *orders; ///< struct duty_order
};

struct duties {
	struct duty list[DUTY_MAX];
	int n;
	bool draining;
};

/// State of the module, NULL before its start.
struct duties *duty_state(const struct core *c);

/// Key prefix of a duty's intents in the store.
void duty_intent_prefix(const struct duty *d, char *buf, size_t len);

/// Whether lease, gate and epoch allow sending now.
bool duty_may_send(struct core *c, const struct duty *d);

/// Start listing the intents of earlier holders, if due.
void duty_read_intents(struct core *c, struct duty *d);

/// Add an order; see duty_mod_send().
enum err duty_order_add(struct core *c, struct duty *d, const char *path,
			const char *body, size_t len,
			void (*fn)(struct core *c, void *ctx, enum err e,
				   int status, const char *body, size_t len),
			void *ctx);

/// Resume the order of an earlier holder's intent; one that is answered,
/// malformed or too old is only deleted.
void duty_order_resume(struct core *c, struct duty *d,
		       const struct kv_item *item);

/// Do the next step of every due order.
void duty_orders_step(struct core *c, struct duty *d);

/// Process the gate's replies.
void duty_orders_take_replies(struct core *c, struct duty *d);

/// Fail every order after a loss; the intents stay for the next holder.
void duty_orders_abort(struct core *c, struct duty *d);

/// Whether orders of earlier holders are unfinished.
bool duty_orders_resuming(const struct duty *d);

/// Free a duty's orders without callbacks.
void duty_orders_free(struct duty *d);
