// Stand-ins for the cases of this review: the platform's store and calls, backend servers
// and clients, and the daemons as processes on loopback addresses.
#pragma once

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

struct MHD_Connection;
struct MHD_Daemon;

enum {
	LAB_NODES_MAX = 16,
	LAB_SERVERS_MAX = 16,
	LAB_RUNS_MAX = 65536,
	LAB_NAME_BYTES = 96,
	LAB_FRONT_PORT = 8405, ///< of the entry nodes
	LAB_VALUE_BYTES = 1048576, ///< the store takes no longer value
	LAB_EXIT_HELD = 0,
	LAB_EXIT_BROKEN = 1,
	LAB_EXIT_CANNOT_RUN = 2,
};

/// A key of the store. Deleted ones have no value.
struct lab_key {
	char *key;
	char *value; ///< base64
	uint64_t rev;
	uint64_t lease;
};

/// One entry of the store's history.
struct lab_change {
	uint64_t rev;
	char *key;
	char *value; ///< base64, NULL: deleted
};

struct lab_lease {
	uint64_t id; ///< 0: free
	int64_t ttl_ms;
	int64_t end_ms;
};

struct lab_store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct lab_key *keys; ///< sorted
	size_t n, cap;
	struct lab_change *changes;
	size_t n_changes, changes_cap;
	struct lab_lease leases[256];
	uint64_t rev;
	uint64_t last_lease;
	int answer_ms; ///< time of an answer
	bool stopping;
	long list_calls; ///< of keys below catkin/run/
};

/// A run of a request at a server.
struct lab_run {
	int64_t at_ms;
	int64_t end_ms; ///< 0: still running
	int server;
	bool complete;
	char method[12];
	char path[LAB_NAME_BYTES];
	char id[LAB_NAME_BYTES];
};

struct lab;

struct lab_server {
	struct lab *lab;
	int index;
	bool engine;
	char id[LAB_NAME_BYTES];
	int port;
	struct MHD_Daemon *http;
	int running;
	uint64_t version;
};

struct lab_node {
	char name[LAB_NAME_BYTES];
	char ip[32];
	char conf[256];
	char log[256];
	pid_t pid; ///< 0: not running
	bool storage;
	int memory_mb;
};

struct lab {
	char dir[200]; ///< temporary folder
	char net[24]; ///< "127.a.b", the first bytes of all addresses
	FILE *record;
	pthread_mutex_t lock;
	struct lab_store store;
	struct MHD_Daemon *store_http;
	struct lab_server servers[LAB_SERVERS_MAX];
	int n_servers;
	int event_ms; ///< between events of a stream
	int events; ///< of a stream
	struct lab_run *runs;
	int n_runs;
	struct lab_node nodes[LAB_NODES_MAX];
	int n_nodes;
	int entry_memory_mb; ///< of an entry VM
	int storage_memory_mb; ///< of a VM with a disk
	int n_entry; ///< the first ones serve clients
	bool stopping;
};

/// Answer of the system to a client.
struct lab_answer {
	int status; ///< 0: none
	char *body; ///< owned
	size_t len;
};

int64_t lab_now_ms(void);
void lab_sleep_ms(int ms);
void lab_note(struct lab *l, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/// Start store and servers, publish the servers and a configuration.
///
/// @param conf  value of op/config
/// @return false if a port can't be opened
bool lab_start(struct lab *l, const char *record, int engines, int desks,
	       const char *conf);
void lab_stop(struct lab *l);

/// Write a key of the operator's or a server's.
void lab_put(struct lab *l, const char *key, const char *text);

/// Append keys that are sorted behind each other, before anything else is written.
void lab_fill(struct lab *l, const char *key, const char *text);
/// Sort the keys of lab_fill().
void lab_fill_end(struct lab *l);

/// Text of a key, free with free(); NULL if there is none.
char *lab_get(struct lab *l, const char *key);

/// Start the daemons with settings like those of a small deployment.
bool lab_nodes_start(struct lab *l, int entry, int storage);
/// Start a node's process again after it ended.
bool lab_node_restart(struct lab *l, int i);
int lab_memory_mb(const struct lab_node *n);
bool lab_node_ready(struct lab *l, int i);
bool lab_nodes_wait_ready(struct lab *l, int timeout_ms);
void lab_node_signal(struct lab *l, int i, int sig);

/// Send a request to an entry node.
///
/// @param key  API key, NULL for none
/// @param id   X-Catkinpath-Request-Id, NULL for none
void lab_call(struct lab *l, int node, const char *method, const char *host,
	      const char *path, const char *key, const char *id,
	      const char *body, int wait_ms, struct lab_answer *out);
void lab_answer_free(struct lab_answer *a);

/* Used between the files of this folder. */
bool lab_store_start(struct lab *l);
void lab_store_stop(struct lab *l);
bool lab_server_start(struct lab *l, int index);
int lab_mhd_query(struct MHD_Connection *conn, const char *name, char *out,
		  size_t len);
