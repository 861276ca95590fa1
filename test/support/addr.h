// Loopback addresses for tests: each process started by a test has a separate IP.
#pragma once

/// Loopback address derived from the process id, so that test programs that run
/// at the same time don't share addresses.
///
/// @param n    index of the address, 0 to 250
/// @param[out] buf  at least 16 bytes
/// @return buf
const char *addr_ip(int n, char *buf);
