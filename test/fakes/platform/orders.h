// Orders and usage reports: accepted ones, and a log of everything received.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct vms;

struct orders {
	json_t *done; ///< response to each accepted order, by id
	json_t *windows; ///< accepted figures of each usage window
	json_t *epochs; ///< highest epoch of each failure domain
	json_t *log; ///< all orders and reports, in order of arrival
};

struct orders_opts {
	int64_t now_ms;
	int64_t boot_ms;
	int64_t leave_ms;
	bool fence; ///< reject orders of an older epoch
};

/// Initialize the state.
void orders_init(struct orders *o);

/// Handle an order. Idempotent: an accepted id gets its first response again.
///
/// @param body        body of POST /orders
/// @param[out] reply  new reference; not set with 400
/// @return HTTP status: 200, 400, 409 (older epoch) or 503 (no matching VM)
int orders_take(struct orders *o, struct vms *v, const json_t *body,
		const struct orders_opts *opts, json_t **reply);

/// Handle a usage report.
///
/// @param body        body of POST /usage
/// @param[out] reply  new reference
/// @return HTTP status: 200, 400, or 409 if the window was reported with other
///         figures
int orders_usage(struct orders *o, const json_t *body, json_t **reply);

/// Log in order of arrival.
///
/// @param domain  only entries of this failure domain, NULL for all
/// @return new reference
json_t *orders_log_of(const struct orders *o, const char *domain);
