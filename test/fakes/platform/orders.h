// Accepted orders and usage reports, and a log of everything received.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct vms;

struct orders {
	json_t *replies; ///< responses by order id
	json_t *windows; ///< figures by usage window
	json_t *epochs; ///< highest by failure domain
	json_t *log; ///< in order of arrival
};

struct orders_opts {
	int64_t now_ms;
	int64_t boot_ms;
	int64_t leave_ms;
	bool fence; ///< reject orders of an older epoch
};

void orders_init(struct orders *o);

/// Handle an order, idempotent by id.
///
/// @param body        body of POST /orders
/// @param[out] reply  new reference, unset with 400
/// @return HTTP status: 200, 400, 409 (older epoch), 503 (no matching VM)
int orders_handle(struct orders *o, struct vms *v, const json_t *body,
		  const struct orders_opts *opts, json_t **reply);

/// Handle a usage report.
///
/// @return HTTP status: 200, 400, 409 (window reported with other figures)
int orders_handle_usage(struct orders *o, const json_t *body, json_t **reply);

/// Log in order of arrival.
///
/// @param domain  filter, NULL for all
/// @return new reference
json_t *orders_get_log(const struct orders *o, const char *domain);
