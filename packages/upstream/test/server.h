// A server that misbehaves as the path says:
//   /ok      whole answer, the connection stays open
//   /silent  no answer
//   /half    half of the body, then the end
//   /drip    half of the body, then silence
//   /die     whole answer to the first request of a connection, then the end
//            instead of an answer
//   /big     a body of SERVER_BIG bytes
//   /endless/PART  bytes of a part of an answer until the caller closes, at full
//            speed; /drop/PART the same, a piece each SERVER_DROP_MS
// A second port resets connections at once.
#pragma once

enum {
	SERVER_PORT = 7700,
	SERVER_RESET_PORT = 7701,
	SERVER_CLOSED_PORT = 7702, ///< nobody listens
	SERVER_BIG = 3000000, ///< bytes
	SERVER_DROP_MS = 50,
};

/// Start it on an address.
void server_start(const char *ip);

/// Requests that were read whole since the last call.
int server_requests(void);
