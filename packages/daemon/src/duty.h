// Inside of the duty module: one record a wanted duty.
#pragma once

#include "candidacy.h"
#include "core/core.h"
#include "daemon/duty_mod.h"
#include "daemon/platform_mod.h"
#include "gate/gate.h"

enum {
	DUTY_MAX = 64, ///< duties that one node wants
	DUTY_NAME_MAX = 96,
	DUTY_KEY_MAX = 256,
	DUTY_ORDERS_MAX = 128, ///< orders of a duty at once
	DUTY_RETRY_MS = 50, ///< least wait after a failed step
	DUTY_INTENT_MAX_MS = 60000, ///< an older intent is dropped unsent
};

enum duty_phase {
	DUTY_OUT, ///< not held
	DUTY_LISTING, ///< held; reading the intents of earlier holders
	DUTY_FINISHING, ///< held; finishing them
	DUTY_READY, ///< held; takes orders
	DUTY_CLOSING, ///< lost; the gate's thread is ending
};

enum order_state {
	ORDER_INTENT, ///< the intent is to be written
	ORDER_SEND, ///< to be sent
	ORDER_SENT, ///< in the gate
	ORDER_CLEAN, ///< over; the intent is to be deleted
};

/// An order under way.
struct duty_order {
	htab_handle self;
	int duty; ///< index of its duty
	enum order_state state;
	bool busy; ///< a store call is outstanding
	bool late; ///< an attempt went unanswered: its bytes may still come
	bool resumed; ///< written by an earlier holder
	uint64_t rev; ///< of the intent's key
	int64_t next_ms; ///< earliest next step
	int64_t begun_ms;
	char key[DUTY_KEY_MAX]; ///< of the intent
	char *path;
	char *body;
	size_t len; ///< bytes of body
	void (*fn)(struct core *c, void *ctx, enum err e, int status,
		   const char *body, size_t len);
	void *ctx;
};

struct duty {
	char name[DUTY_NAME_MAX];
	int index;
	struct candidacy cand;
	enum duty_phase phase;
	struct gate *gate;
	uint64_t epoch; ///< of the gate
	int64_t quiet_until_ms; ///< nothing is sent before
	int64_t ready_ms; ///< start of DUTY_READY
	int64_t next_list_ms;
	bool listing; ///< a list is outstanding
	uint64_t list_epoch; ///< for which epoch it was asked
	struct htab *orders; ///< struct duty_order
};

struct duties {
	struct duty list[DUTY_MAX];
	int n;
	bool draining;
};

/// State of the module, NULL before its start.
struct duties *duty_all(const struct core *c);

/// Key prefix of a duty's intents.
void duty_prefix(const struct duty *d, char *buf, size_t len);

/// Whether the lease, the gate and the epoch all allow sending now.
bool duty_may_send(struct core *c, const struct duty *d);

/// Begin to read the intents of earlier holders.
void duty_list(struct core *c, struct duty *d);

/// Take an order; see duty_mod_send().
enum err duty_order_add(struct core *c, struct duty *d, const char *path,
			const char *body, size_t len,
			void (*fn)(struct core *c, void *ctx, enum err e,
				   int status, const char *body, size_t len),
			void *ctx);

/// Take over an intent that an earlier holder wrote.
void duty_order_resume(struct core *c, struct duty *d,
		       const struct kv_item *item);

/// Move every order on.
void duty_orders_step(struct core *c, struct duty *d);

/// Take the gate's replies.
void duty_orders_collect(struct core *c, struct duty *d);

/// End every order of a lost holding.
void duty_orders_drop(struct core *c, struct duty *d);

/// Whether orders of earlier holders are unfinished.
bool duty_orders_resuming(const struct duty *d);

/// Free a duty's orders without callbacks.
void duty_orders_free(struct duty *d);
