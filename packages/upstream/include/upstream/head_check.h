// Checks an answer's head line by line; for each client of libcurl, which takes a head that
// was cut off for a whole one.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// What the lines of an answer's head showed so far.
struct head_check {
	bool open; ///< a status line without the empty line after it
	bool complete; ///< of a final answer
	bool final; ///< the status line is that of a final answer
	bool no_body; ///< its status allows none
	bool chunked;
	bool has_length;
	uint64_t length;
};

/// Check the next line of a head.
///
/// @return false for what is no head: two answers run together, or two lengths
bool head_check_line(struct head_check *h, const char *line, size_t len);

/// Whether the head is complete, and states where the body ends.
///
/// A body whose end nothing but the connection's marks is never known to be whole.
static inline bool head_check_framed(const struct head_check *h)
{
	return h->complete && (h->no_body || h->chunked || h->has_length);
}
