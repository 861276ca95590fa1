// Value of an intent: an order stored before it is sent.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct duty_intent {
	char *path; ///< owned
	char *body; ///< owned; the order's JSON
	bool answered; ///< stored while a late duplicate may arrive
	int64_t wall_ms; ///< clock_wall_ms() time of writing
};

/// Encode an intent.
///
/// @return text to free(), NULL if the body is not a JSON object
char *duty_intent_encode(const char *path, const char *body, size_t len,
			 int64_t wall_ms, bool answered);

/// Decode an intent, replacing the epoch in its body.
///
/// @param[out] out  freed with duty_intent_free(), also after an error
/// @return false for a malformed value
bool duty_intent_decode(const char *value, size_t len, uint64_t epoch,
			struct duty_intent *out);

/// Id of an order within its duty: its "id", or the "window" of a report.
///
/// @return false if the body has neither or it is too long
bool duty_intent_order_id(const char *body, size_t len, char *buf, size_t size);

/// Free the members.
void duty_intent_free(struct duty_intent *in);
