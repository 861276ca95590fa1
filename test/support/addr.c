// Derives loopback addresses from the process id.
#include "support/addr.h"

#include <stdio.h>
#include <unistd.h>

const char *addr_ip(int n, char *buf)
{
	unsigned int pid = (unsigned int)getpid();
	unsigned char b = (unsigned char)(16 + (pid >> 8) % 200);
	unsigned char c = (unsigned char)(pid & 0xff);

	snprintf(buf, 16, "127.%u.%u.%u", b, c, (unsigned char)(n + 1));
	return buf;
}
