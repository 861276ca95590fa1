// Cuts the sockets of calls whose time to be sent ran out, also when the edge's
// thread is kept from running between its look at the clock and its write.
//
// A process has one interval timer: the first edge of a process gets the guard.
#pragma once

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

/// Take the guard for the calling thread.
///
/// @return false if another edge has it, or the kernel refuses
bool guard_take(void);

/// Give it up, once its thread ended.
void guard_release(void);

/// Keep the guard's signal from other threads: the calling one and those that it
/// starts.
void guard_mask(void);

/// Open a socket that is cut at a time.
///
/// @param until_ms  clock_now_ms() time
/// @return socket, CURL_SOCKET_BAD on failure or if it is too late
curl_socket_t guard_socket(const struct curl_sockaddr *addr, int64_t until_ms);

/// Whether the socket was cut.
bool guard_was_cut(curl_socket_t fd);

/// Close a socket of guard_socket(); for CURLOPT_CLOSESOCKETFUNCTION.
int guard_close(void *ctx, curl_socket_t fd);
