// Daemons that run on the stand-in, and callers' requests to them.
#pragma once

#include <jansson.h>
#include <stdbool.h>

#include "hosted.h"
#include "support/proc.h"

enum {
	NODES = 5, ///< three that take callers, two that may lead
	NODES_ENTRY = 3,
	NODES_MAX = 200,
	NODE_FRONT_PORT = 7950,
	NODE_READY_PORT = 7951,
	NODE_PEER_PORT = 7952,
};

struct node {
	struct proc proc;
	char id[32];
	char ip[16];
	char conf[256]; ///< settings file
	int store_port; ///< at which it finds the store
};

struct nodes {
	struct hosted *h;
	int n;
	int n_entry; ///< the first ones take callers, the others may lead
	const char *settings; ///< more lines for each node's file, or NULL
	struct node list[NODES_MAX];
};

/// Node that sent a run.
///
/// @return index, -1 if it was none
int node_of_run(const struct nodes *ns, const struct hosted_run *r);

/// Start all and wait until they are ready.
bool nodes_start(struct nodes *ns, struct hosted *h);

/// Set up, for nodes_run(), without starting anything.
void nodes_init(struct nodes *ns, struct hosted *h, int n, int n_entry);

/// Start all that were set up and wait until they are ready.
bool nodes_run(struct nodes *ns);
bool node_start(struct nodes *ns, int i);
bool node_ready(struct nodes *ns, int i, int timeout_ms);
/// Kill and start the nodes that may be homes, in turn.
bool nodes_restart_homes(struct nodes *ns);
void nodes_stop(struct nodes *ns);

/// An answer.
struct answer {
	int status; ///< 0 if none came
	char seal[64];
	char own[64]; ///< X-Own
	char retry_after[32];
	char *body; ///< owned
	size_t len; ///< bytes
};

/// Make a call at a node with the key and host of the stand-in's team.
///
/// @param id  X-Catkinpath-Request-Id, NULL for none
void node_call(struct nodes *ns, int i, const char *method, const char *path,
	       const char *key, const char *id, const char *body,
	       struct answer *out);
void answer_free(struct answer *a);

/// node_call() on the connections that a handle of libcurl keeps open.
void node_call_on(void *curl, struct nodes *ns, int i, const char *method,
		  const char *path, const char *key, const char *id,
		  const char *body, struct answer *out);

/// Body of a batch of items "ID.0", "ID.1", ... in groups of two.
char *batch_body(const char *id, int items, int min_version);

/// Read results from a position.
///
/// @return JSON object, NULL unless the answer is 200
json_t *read_results(struct nodes *ns, int i, const char *id, int after);
