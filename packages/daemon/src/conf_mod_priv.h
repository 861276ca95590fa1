// Private state and functions of the conf module.
#pragma once

#include "conf/edit.h"
#include "conf/sync.h"
#include "core/core.h"
#include "daemon/conf_mod.h"
#include "daemon/member_mod.h"
#include "daemon/platform_mod.h"

enum {
	CONF_MOD_LISTENERS_MAX = 16,
	CONF_MOD_EDITS_MAX = 32, ///< edits in progress
	CONF_MOD_KV_CALLS_MAX = 64, ///< reads and watches in flight
};

#define CONF_MOD_KEY "conf/doc"

struct conf_mod_listener {
	void (*fn)(struct core *c, void *ctx);
	void *ctx;
};

struct conf_mod {
	struct core *c;
	struct conf_sync *sync;
	enum conf_freshness freshness; ///< as of the last tick
	uint64_t members_hash; ///< of the members last passed to conf_sync
	struct conf_mod_listener listeners[CONF_MOD_LISTENERS_MAX];
	size_t n_listeners;
	struct htab *edits; ///< of struct conf_mod_edit
	struct htab *calls; ///< of struct conf_mod_kv_call
};

struct conf_mod *conf_mod_state(const struct core *c);

/// Call the listeners, to check keyed work again.
void conf_mod_notify(struct conf_mod *m);

/// Register the message handlers.
enum err conf_mod_peer_start(struct conf_mod *m);

/// Send a message to a peer.
void conf_mod_peer_send(struct conf_mod *m, const char *to,
			const struct conf_msg *msg);

/// Pass the members to conf_sync, without replaced ones.
void conf_mod_update_members(struct conf_mod *m);

/// Whether a dead member was replaced: the VM list lacks it.
bool conf_mod_member_replaced(struct conf_mod *m, const struct member_view *v);

/// Register the routes of the admin API.
enum err conf_mod_admin_start(struct conf_mod *m);

/// Allocate and free the table of edits in progress.
enum err conf_mod_edit_start(struct conf_mod *m);
void conf_mod_edit_stop(struct conf_mod *m);

/// Handle POST /admin/conf/edit.
void conf_mod_handle_edit(struct core *c, struct core_req *r, void *ctx);

/// Time out edits past their deadline, retry those that are due.
void conf_mod_edit_tick(struct conf_mod *m, int64_t now);

/// Reads and watches of the store for conf_sync.
enum err conf_mod_kv_start(struct conf_mod *m);
void conf_mod_kv_watch(void *ctx, uint64_t after, int64_t wait_ms);
void conf_mod_kv_read(void *ctx);
