// A test server whose fault is chosen by the request's path:
//   /ok      complete answer, the connection stays open
//   /silent  no answer
//   /garbage no answer, then the connection is closed
//   /half    half of the body, then the connection is closed
//   /drip    half of the body, then silence
//   /die     complete answer to the first request of a connection; the next one
//            closes the connection without an answer
//   /big     a body of SERVER_BIG_BYTES bytes
//   /endless/PART  repeats one part of an answer until the client closes, at full
//            speed; /drop/PART the same, one piece every SERVER_DROP_INTERVAL_MS
//   /cut/K/N  the first N bytes of answer K of server_answers, then the connection is
//            closed; /rst/K/N the same, and it is reset
//   /copy/K/N/C/G  the first N bytes of answer K and then, as if it were sent twice, the
//            first C bytes of it once more; all of it if C is -1, else the connection is
//            closed; G: milliseconds between the two, -1 for between head and body
//   /text/B/S  text B of server_texts, and behind it bytes S of server_strays
//   /parts   server_parts, one after the other
// A second port resets each connection as soon as it is accepted.
#pragma once

#include <stdbool.h>

enum {
	SERVER_PORT = 7700,
	SERVER_RESET_PORT = 7701,
	SERVER_CLOSED_PORT = 7702, ///< no listener
	SERVER_BIG_BYTES = 3000000,
	SERVER_DROP_INTERVAL_MS = 50,
};

/// Start the server on an IP address.
void server_start(const char *ip);

/// 170 bytes: more than the head of its answer.
#define SERVER_LONG_CHUNK                                         \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaa"

struct server_answer {
	const char *text;
	const char *method;
	bool unframed; ///< its body ends with the connection
};

enum {
	SERVER_ANSWERS = 10,
	SERVER_ODD_ANSWERS =
		4, ///< behind them; their heads state no usable end
	SERVER_ALL_ANSWERS = SERVER_ANSWERS + SERVER_ODD_ANSWERS,
};

extern const struct server_answer server_answers[SERVER_ALL_ANSWERS];

enum {
	SERVER_TEXTS = 9,
	SERVER_STRAYS = 5,
};

/// Bodies that quote HTTP.
extern const char *const server_texts[SERVER_TEXTS];

/// What belongs to no request.
extern const char *const server_strays[SERVER_STRAYS];

enum {
	SERVER_PARTS = 3,
	SERVER_PART_MAX_BYTES = 8192,
	SERVER_PART_GAP_MS = 20, ///< between two parts
};

/// What it sends for /parts; set by the test before the request.
extern char server_parts[SERVER_PARTS][SERVER_PART_MAX_BYTES];

/// Requests that were read completely since the last call.
int server_requests(void);
