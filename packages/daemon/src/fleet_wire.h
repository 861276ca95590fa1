// Wire format of the platform's VM list, behind a table of functions.
#pragma once

#include <stddef.h>

#include "daemon/fleet_mod.h"

struct fleet_wire_ops {
	const char *name;
	const char *vms_path; ///< path of the VM list at the platform
	/// Read a VM list. Rows that make no sense are left out and counted.
	///
	/// @param[out] vms  rows, freed by the caller
	/// @param[out] n    rows
	/// @param[out] bad  rows left out
	/// @return ERR_OK, ERR_PARSE, ERR_TOO_LARGE or ERR_NOMEM
	enum err (*vms_decode)(const char *body, size_t len,
			       struct fleet_vm **vms, size_t *n, size_t *bad);
};

/// HTTP and JSON as in docs/PROTOCOLS.md.
extern const struct fleet_wire_ops fleet_wire_json;
