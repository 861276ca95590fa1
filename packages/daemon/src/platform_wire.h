// The project's own wire of the key-value store.
#pragma once

#include "wire/store.h"

/// HTTP and JSON as in docs/PROTOCOLS.md.
extern const struct kv_wire_ops kv_wire_json;
