// Loopback addresses: each process of a test has a separate IP.
#pragma once

/// Loopback address that no other running test program uses.
///
/// @param n    0 to 250
/// @param[out] buf  at least 16 bytes
/// @return buf
const char *addr_ip(int n, char *buf);
