// Value of an intent: an order written down before it is sent.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct duty_intent {
	char *path; ///< owned
	char *body; ///< owned; the order's JSON
	bool over; ///< answered; kept while late bytes of it may come
	int64_t wall_ms; ///< clock_wall_ms() of the writing
};

/// Value to write.
///
/// @return text to be freed, NULL for a body that is no JSON object
char *duty_intent_encode(const char *path, const char *body, size_t len,
			 int64_t wall_ms, bool over);

/// Read a value; the body carries the given epoch instead of its own.
///
/// @return false for a malformed value
bool duty_intent_decode(const char *value, size_t len, uint64_t epoch,
			struct duty_intent *out);

/// Name of an order within its duty: its id, or the window of a report.
///
/// @return false if the body has neither
bool duty_intent_name(const char *body, size_t len, char *buf, size_t size);

/// Free what duty_intent_decode() made.
void duty_intent_free(struct duty_intent *in);
