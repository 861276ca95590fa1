// Second answers of a server within the body of its first one, which it broke off.
#pragma once

#include <stdbool.h>
#include <stddef.h>

enum {
	/// Most bytes of an answer's head, including interim answers and the trailer;
	/// four times what common servers send at most.
	UPSTREAM_HEAD_MAX_BYTES = 65536,
	HEAD_STATUS_LINE_MIN = 12, ///< bytes of "HTTP/1.1 200"
};

/// Whether a text begins with the status line of an answer.
bool head_is_status_line(const char *text, size_t len);

/// Whether a text of any length may begin with one.
bool head_may_be_status_line(const char *text, size_t len);

/// Whether a status line begins within a line.
bool head_has_status_line(const char *line, size_t len);

/// Lines of the final answer's head.
struct own_head {
	char *text;
	size_t len; ///< bytes
	size_t cap;
};

enum second_answer {
	SECOND_NONE,
	SECOND_MAYBE, ///< what follows the body will tell
	SECOND_FOUND, ///< the body is cut and filled up with a second answer
};

/// Whether a second answer may begin within a body.
bool second_answer_may_begin(const char *body, size_t len);

/// Look for a second answer that begins within a body and goes on behind it.
///
/// @param own  head of the answer to which the body belongs
/// @param surplus  bytes behind the body, as far as they are known
enum second_answer second_answer_find(const struct own_head *own,
				      const char *body, size_t len,
				      const char *surplus, size_t surplus_len);

/// Whether a body holds a head with the fields of its own answer's. What fills up a chunk
/// that was cut ends with that head: the empty line behind it is taken for the chunk's end.
bool second_answer_repeats_head(const struct own_head *own, char *body,
				size_t len);
