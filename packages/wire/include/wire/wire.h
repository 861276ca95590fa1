// All tables of one external platform. Its adapter implements them; no other code
// depends on that platform's names.
#pragma once

#include "wire/duty.h"
#include "wire/engine.h"
#include "wire/front.h"
#include "wire/publish.h"
#include "wire/store.h"

struct wire_ops {
	const char *name; ///< value of the setting [platform] wire
	const struct kv_wire_ops *store;
	const struct publish_wire_ops *publish;
	const struct front_wire_ops *front;
	const struct engine_wire_ops *engine;
	const struct duty_wire_ops *duty;
};
