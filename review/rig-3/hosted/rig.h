// Small deployment of the project's own daemons on loopback, for the scripts of the
// third review: settings, processes, callers, a proxy before the store, the record.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "hosted.h"
#include "support/proc.h"

enum {
	RIG_NODES_MAX = 16,
	RIG_FRONT_PORT = 7950,
	RIG_ADMIN_PORT = 7951,
	RIG_PEER_PORT = 7952,
	RIG_PROXY_PORT = 7990, ///< of the proxy before the store
	RIG_BROKEN = 1, ///< exit code: the rule was broken
	RIG_NOT_RUN = 2, ///< exit code: the case could not run
};

/// A daemon process.
struct rig_node {
	struct proc proc;
	char id[32];
	char ip[16];
	char domain[8];
	char conf[256]; ///< settings file
	bool home; ///< runs with the lead role's settings
	bool by_proxy; ///< reaches the store by the proxy
};

struct rig {
	struct hosted h; ///< the fake platform and servers
	struct rig_node nodes[RIG_NODES_MAX];
	int n;
	const char *settings; ///< extra lines for each settings file, or NULL
};

/// An answer to a caller.
struct rig_answer {
	int status; ///< 0: none
	char *body; ///< owned
	size_t len; ///< bytes
};

/// Whether TROUBLE is not 0.
bool rig_trouble(void);

/// Open the record and start the clock of its lines.
bool rig_record_open(const char *path);
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/// Start the fake platform and its servers.
bool rig_platform_start(struct rig *r);

/// Add a node; its process is not started.
struct rig_node *rig_add(struct rig *r, const char *domain, bool home);

/// Write settings and start the process of a node.
bool rig_node_start(struct rig *r, struct rig_node *n);

/// Start all nodes and wait until they are ready.
bool rig_start(struct rig *r);
void rig_stop(struct rig *r);

/// Start the proxy before the store.
bool rig_proxy_start(struct rig *r);

/// Silence, for good, the connections that carry a watch of a prefix now, as it
/// stands in the query. Later connections work.
void rig_proxy_silence(const char *prefix);

/// Silence, for good, the connection that carries the next list of keys below a prefix.
void rig_proxy_silence_list(const char *prefix);

/// Number of connections silenced so far.
int rig_proxy_silenced(void);

/// Send a request with host "h1"; id and body may be NULL.
void rig_call(const struct rig_node *n, const char *method, const char *path,
	      const char *key, const char *id, const char *body,
	      struct rig_answer *out);
/// Set how long reads of batches may wait, first 1 s.
void rig_set_wait(int ms);
void rig_answer_free(struct rig_answer *a);

/// Sleep.
void rig_sleep_ms(int ms);
