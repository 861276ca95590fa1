// Wire format of the platform's VM list, behind a table of functions.
#pragma once

#include <stddef.h>

#include "daemon/fleet_mod.h"

/// An order for one backend server.
struct fleet_order {
	const char *id;
	uint64_t epoch;
	const char *domain;
	bool start; ///< else stop
	enum vm_kind kind;
	const char *service; ///< "" for engines
	bool cheap;
	const char *server; ///< id of the server to stop
};

struct fleet_wire_ops {
	const char *name;
	const char *vms_path; ///< path of the VM list at the platform
	/// Read a VM list. Rows that make no sense are left out and counted.
	///
	/// @param[out] vms  rows, freed by the caller
	/// @param[out] n    rows
	/// @param[out] bad  rows left out
	/// @param[out] age  milliseconds by which the list lags
	/// @return ERR_OK, ERR_PARSE, ERR_TOO_LARGE or ERR_NOMEM
	enum err (*vms_decode)(const char *body, size_t len,
			       struct fleet_vm **vms, size_t *n, size_t *bad,
			       int64_t *age);
	const char *orders_path; ///< path for orders at the platform
	/// Write an order.
	///
	/// @return bytes written, 0 if they don't fit
	size_t (*order_encode)(const struct fleet_order *o, char *buf,
			       size_t len);
	/// Read the answer to an order.
	///
	/// @param[out] server  id of the server, at least 64 bytes
	/// @return false if it names none
	bool (*order_decode)(const char *body, size_t len, char *server);
};

/// HTTP and JSON as in docs/PROTOCOLS.md.
extern const struct fleet_wire_ops fleet_wire_json;
