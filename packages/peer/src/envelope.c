// Writes and reads the frames that name processes; numbers are in network byte order.
#include "envelope.h"

#include <arpa/inet.h>
#include <endian.h>
#include <string.h>

/// First byte of a routing id; one that the router chose itself begins with 0.
static const uint8_t ID_TAG = 'R';

void envelope_id_write(uint8_t out[ENVELOPE_ID_BYTES], uint64_t run,
		       uint32_t connection)
{
	uint64_t run_be = htobe64(run);
	uint32_t connection_be = htonl(connection);

	out[0] = ID_TAG;
	memcpy(out + 1, &run_be, sizeof(run_be));
	memcpy(out + 1 + sizeof(run_be), &connection_be, sizeof(connection_be));
}

uint64_t envelope_id_run(const void *data, size_t len)
{
	const uint8_t *id = data;
	uint64_t run_be;

	if (len != ENVELOPE_ID_BYTES || id[0] != ID_TAG)
		return 0;
	memcpy(&run_be, id + 1, sizeof(run_be));
	return be64toh(run_be);
}

size_t envelope_type_write(uint8_t out[ENVELOPE_TYPE_BYTES], uint32_t type,
			   uint64_t to_run)
{
	uint32_t type_be = htonl(type);
	uint64_t run_be = htobe64(to_run);

	memcpy(out, &type_be, sizeof(type_be));
	if (!to_run)
		return ENVELOPE_TYPE_ONLY_BYTES;
	memcpy(out + sizeof(type_be), &run_be, sizeof(run_be));
	return ENVELOPE_TYPE_BYTES;
}

bool envelope_type_read(const void *data, size_t len, uint32_t *type,
			uint64_t *to_run)
{
	const uint8_t *frame = data;
	uint32_t type_be;
	uint64_t run_be = 0;

	if (len != ENVELOPE_TYPE_ONLY_BYTES && len != ENVELOPE_TYPE_BYTES)
		return false;
	memcpy(&type_be, frame, sizeof(type_be));
	if (len == ENVELOPE_TYPE_BYTES)
		memcpy(&run_be, frame + sizeof(type_be), sizeof(run_be));
	*type = ntohl(type_be);
	*to_run = be64toh(run_be);
	return true;
}
