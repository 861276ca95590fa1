// Wire format of the platform's VM list and orders, as function table.
#pragma once

#include <stddef.h>

#include "daemon/fleet_mod.h"

/// An order for one backend server.
struct fleet_order {
	const char *id;
	uint64_t epoch; ///< fencing token
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
	/// Decode a VM list; malformed rows are skipped.
	///
	/// @param[out] vms     rows, freed by the caller
	/// @param[out] n       rows
	/// @param[out] bad     skipped rows
	/// @param[out] age_ms  age of the list
	/// @return ERR_OK, ERR_PARSE, ERR_TOO_LARGE or ERR_NOMEM
	enum err (*vms_decode)(const char *body, size_t len,
			       struct fleet_vm **vms, size_t *n, size_t *bad,
			       int64_t *age_ms);
	const char *orders_path; ///< path for orders at the platform
	/// Encode an order.
	///
	/// @return bytes written, 0 if the buffer is too small
	size_t (*order_encode)(const struct fleet_order *o, char *buf,
			       size_t len);
	/// Decode the reply to an order.
	///
	/// @param[out] server  id of the server, at least 64 bytes
	/// @return false if the reply names no server
	bool (*order_decode)(const char *body, size_t len, char *server);
};

/// JSON over HTTP as in docs/PROTOCOLS.md.
extern const struct fleet_wire_ops fleet_wire_json;
