// Sends the leader's calls to the platform.
#include "lead/lead_call.h"

#include <stdio.h>
#include <string.h>

#include "core/settings.h"
#include "daemon/lead_mod.h"

enum {
	/// The connection is reset after this, so that no part of the call arrives
	/// when a later leader may already have made its own.
	LEAD_CALL_TIMEOUT_MS = 1500,
};

enum err lead_call_send(struct core *c, const struct lead_call *call)
{
	const struct settings *s = core_settings(c);
	const char *base = settings_str(s, S_PLATFORM_DUTY_URL);
	char url[512];
	const struct core_fetch_opts opts = {
		.method = "POST",
		.url = url,
		.headers = call->headers,
		.body = call->body,
		.body_len = call->body ? strlen(call->body) : 0,
		.timeout_ms = LEAD_CALL_TIMEOUT_MS,
		.send_until_ms = lead_mod_leadership_end_ms(c),
		.fresh = true,
		.on_done = call->on_done,
		.ctx = call->ctx,
	};

	if (!call->headers)
		return ERR_NOMEM;
	snprintf(url, sizeof(url), "%s%s",
		 *base ? base : settings_str(s, S_PLATFORM_URL), call->path);
	return core_fetch(c, &opts, NULL);
}
