// Orders and usage reports: what was accepted, and a log of all that came.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct vms;

struct orders {
	json_t *done; ///< answer of each order id
	json_t *windows; ///< figures of each usage window
	json_t *epochs; ///< highest epoch seen for each failure domain
	json_t *log; ///< all that came, in order
};

struct orders_opts {
	int64_t now_ms;
	int64_t boot_ms;
	int64_t leave_ms;
	bool fence; ///< refuse orders of an older epoch
};

void orders_init(struct orders *o);

/// Take an order.
///
/// @param body        body of POST /orders
/// @param[out] reply  new reference
/// @return HTTP status
int orders_take(struct orders *o, struct vms *v, const json_t *body,
		const struct orders_opts *opts, json_t **reply);

/// Take a usage report.
///
/// @return HTTP status
int orders_usage(struct orders *o, const json_t *body, json_t **reply);

/// What came, in order.
///
/// @param domain  only orders of this failure domain, NULL for all
/// @return new reference
json_t *orders_log_of(const struct orders *o, const char *domain);
