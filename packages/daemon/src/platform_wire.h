// The project's own wire protocol of the key-value store.
#pragma once

#include "wire/store.h"

/// HTTP and JSON as described in docs/PROTOCOLS.md.
extern const struct kv_wire_ops kv_wire_json;
