// A local system for end-to-end tests: daemons and fake backends on loopback.
#pragma once

#include <stdbool.h>

#include "support/proc.h"

enum {
	SYS_MAX_NODES = 12,
	SYS_MAX_SERVERS = 40,
	SYS_PLATFORM_PORT = 7000,
	SYS_PUBLIC_PORT = 8000,
	SYS_ADMIN_PORT = 8001,
	SYS_PEER_PORT = 8002,
	SYS_SERVER_PORT = 9000,
	SYS_LINK_PORT = 6000, ///< of a node's link to the platform
};

struct sys_opts {
	int domains; ///< failure domains, named d1, d2, ...
	int nodes_per_domain;
	int engines_per_domain;
	int services_per_domain; ///< servers of the service "desk"
	int empty_domain; ///< domain (from 1) without backend servers, 0: none
	const char *settings; ///< appended to each node's file, or NULL
	const char *const *engine_args; ///< NULL-terminated extra arguments
	const char *const *service_args; ///< NULL-terminated extra arguments
	const char *const *platform_args; ///< NULL-terminated extra arguments
	bool platform_links; ///< nodes reach the platform through links
};

struct sys_node {
	struct proc proc;
	char id[32];
	char domain[16];
	char ip[16];
	char url[64]; ///< of the public listener
	char admin[64]; ///< of the admin listener
	char conf[256]; ///< settings file
	struct link *link; ///< to the platform, NULL without platform_links
};

struct sys_server {
	struct proc proc;
	char id[32];
	char domain[16];
	char ip[16];
	char url[64];
	bool engine;
};

struct sys {
	struct sys_opts opts;
	struct proc platform;
	char platform_ip[16];
	char platform_url[64];
	struct sys_node nodes[SYS_MAX_NODES];
	int n_nodes;
	struct sys_server servers[SYS_MAX_SERVERS];
	int n_servers;
};

/// Start all processes and wait until each daemon answers /healthz.
///
/// @return false on failure; call sys_stop() all the same
bool sys_start(struct sys *s, const struct sys_opts *opts);

/// Start a node (again), same id, address and settings file.
bool sys_node_start(struct sys *s, int i);

/// Start a backend server (again), same id and address.
bool sys_server_start(struct sys *s, int i);

/// Poll a URL with GET until it returns a status.
bool sys_wait_status(const char *url, int status, int timeout_ms);

/// Kill all processes, stop the links and remove the settings files.
void sys_stop(struct sys *s);
