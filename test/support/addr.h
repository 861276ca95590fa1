// Addresses for tests: each process of a test gets a loopback IP of its own.
#pragma once

/// Loopback address that no other test program uses.
///
/// @param n    0 to 250
/// @param[out] buf  at least 16 bytes
/// @return buf
const char *addr_ip(int n, char *buf);
