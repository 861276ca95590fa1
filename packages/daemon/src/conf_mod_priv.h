// State of the conf module, shared by its files.
#pragma once

#include "conf/edit.h"
#include "conf/sync.h"
#include "core/core.h"
#include "daemon/conf_mod.h"
#include "daemon/member_mod.h"
#include "daemon/platform_mod.h"

enum {
	CONF_MOD_LISTENERS_MAX = 16,
	CONF_MOD_EDITS_MAX = 32, ///< edits in progress at once
	CONF_MOD_KV_CALLS_MAX = 64, ///< reads and watches out at once
};

#define CONF_MOD_KEY "conf/doc"

struct conf_mod_listener {
	void (*fn)(struct core *c, void *ctx);
	void *ctx;
};

struct conf_mod {
	struct core *c;
	struct conf_sync *sync;
	enum conf_freshness freshness; ///< as last told to the listeners
	uint64_t members_hash; ///< of the members last given to the sync
	struct conf_mod_listener listeners[CONF_MOD_LISTENERS_MAX];
	size_t n_listeners;
	struct htab *edits; ///< of struct conf_mod_edit
	struct htab *calls; ///< of struct conf_mod_kv_call
};

struct conf_mod *conf_mod_state(const struct core *c);

/// Tell the listeners that something about keyed work may have changed.
void conf_mod_notify(struct conf_mod *m);

/// Register the message handlers.
enum err conf_mod_peer_start(struct conf_mod *m);

/// Send a message to a peer.
void conf_mod_peer_send(struct conf_mod *m, const char *to,
			const struct conf_msg *msg);

/// Give the sync the members as membership and the VM list show them.
void conf_mod_update_members(struct conf_mod *m);

/// Whether a dead member was replaced: the VM list no longer has it.
bool conf_mod_member_replaced(struct conf_mod *m, const struct member_view *v);

/// Register the operators' calls.
enum err conf_mod_admin_start(struct conf_mod *m);

/// Start and end the edits in progress.
enum err conf_mod_edit_start(struct conf_mod *m);
void conf_mod_edit_stop(struct conf_mod *m);

/// POST /admin/conf/edit.
void conf_mod_edit(struct core *c, struct core_req *r, void *ctx);

/// Give up edits whose time is over, repeat those that wait.
void conf_mod_edit_tick(struct conf_mod *m, int64_t now);

/// Store reads and watches of the sync.
enum err conf_mod_kv_start(struct conf_mod *m);
void conf_mod_kv_watch(void *ctx, uint64_t after, int64_t wait_ms);
void conf_mod_kv_read(void *ctx);
