// Second answers of a server within the body of its first one, which it broke off.
#pragma once

#include <stdbool.h>
#include <stddef.h>

enum {
	/// Most bytes of an answer's head, including interim answers and the trailer;
	/// four times what common servers send at most.
	UPSTREAM_HEAD_MAX_BYTES = 65536,
	HEAD_STATUS_LINE_MIN = 12, ///< bytes of "HTTP/1.1 200"
	/// Most bytes that are kept of an answer's head; common servers send less.
	OWN_HEAD_MAX_BYTES = 8192,
	/// Most bytes at the end of a streamed piece that are looked at with the next one.
	ID_CARRY_BYTES = 256,
};

/// Whether a text begins with the status line of an answer.
bool head_is_status_line(const char *text, size_t len);

/// Whether a text of any length may begin with one.
bool head_may_be_status_line(const char *text, size_t len);

/// Whether a status line begins within a line.
bool head_has_status_line(const char *line, size_t len);

/// What is known of the answer to which a body belongs.
struct own_head {
	const char
		*id_name; ///< field that identifies the request, NULL if none
	const char *id_value;
	char *text; ///< its first lines
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
/// @param surplus  bytes behind the body, as far as they are known
enum second_answer second_answer_find(const struct own_head *own,
				      const char *body, size_t len,
				      const char *surplus, size_t surplus_len);

/// Whether a body holds the head of an answer to its own request. What fills up a chunk
/// that was cut ends with that head: the empty line after it is taken for the chunk's end.
bool second_answer_has_own_id(const struct own_head *own, const char *body,
			      size_t len);

/// Bytes at the end of what was streamed so far.
struct id_carry {
	char text[ID_CARRY_BYTES];
	size_t len;
};

/// The same for the next piece of a streamed body, by the line with the id alone.
bool second_answer_in_piece(const struct own_head *own, struct id_carry *carry,
			    const char *piece, size_t len);
