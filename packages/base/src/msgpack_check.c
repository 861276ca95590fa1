// Validates msgpack by walking the headers of its objects, without decoding them.
#include "base/msgpack_check.h"

#include <stdint.h>

struct object_header {
	size_t bytes; ///< header and the string, binary or number after it
	uint64_t children; ///< elements that follow
};

/// Big-endian number of the n bytes after the first; bytes past the end are left out.
static uint64_t read_be(const uint8_t *p, size_t avail, size_t n)
{
	uint64_t v = 0;

	for (size_t i = 1; i <= n && i < avail; i++)
		v = v << 8 | p[i];
	return v;
}

static struct object_header header_with_payload(const uint8_t *p, size_t avail,
						size_t width, size_t extra)
{
	return (struct object_header){
		1 + width + extra + read_be(p, avail, width), 0};
}

static struct object_header header_of_container(const uint8_t *p, size_t avail,
						size_t width,
						uint64_t per_entry)
{
	return (struct object_header){1 + width,
				      per_entry * read_be(p, avail, width)};
}

/// Header of an object whose first byte is 0xc0 to 0xdf.
static struct object_header header_c0_to_df(const uint8_t *p, size_t avail)
{
	static const uint8_t fixed[] = {
		[0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1,
		[0xcd - 0xc0] = 2, [0xce - 0xc0] = 4, [0xcf - 0xc0] = 8,
		[0xd0 - 0xc0] = 1, [0xd1 - 0xc0] = 2, [0xd2 - 0xc0] = 4,
		[0xd3 - 0xc0] = 8, [0xd4 - 0xc0] = 2, [0xd5 - 0xc0] = 3,
		[0xd6 - 0xc0] = 5, [0xd7 - 0xc0] = 9, [0xd8 - 0xc0] = 17,
	};

	switch (*p) {
	case 0xc1:
		return (struct object_header){0, 0};
	case 0xc4: /* bin */
	case 0xc5:
	case 0xc6:
		return header_with_payload(p, avail, (size_t)1 << (*p - 0xc4),
					   0);
	case 0xc7: /* ext: one more byte, its type */
	case 0xc8:
	case 0xc9:
		return header_with_payload(p, avail, (size_t)1 << (*p - 0xc7),
					   1);
	case 0xd9: /* str */
	case 0xda:
	case 0xdb:
		return header_with_payload(p, avail, (size_t)1 << (*p - 0xd9),
					   0);
	case 0xdc: /* array */
	case 0xdd:
		return header_of_container(p, avail, (size_t)2 << (*p - 0xdc),
					   1);
	case 0xde: /* map */
	case 0xdf:
		return header_of_container(p, avail, (size_t)2 << (*p - 0xde),
					   2);
	default:
		return (struct object_header){1u + fixed[*p - 0xc0], 0};
	}
}

static struct object_header header_read(const uint8_t *p, size_t avail)
{
	if (*p < 0x80 || *p >= 0xe0)
		return (struct object_header){1, 0};
	if (*p < 0x90)
		return (struct object_header){1, 2u * (*p & 0x0f)};
	if (*p < 0xa0)
		return (struct object_header){1, *p & 0x0f};
	if (*p < 0xc0)
		return (struct object_header){1u + (*p & 0x1f), 0};
	return header_c0_to_df(p, avail);
}

bool msgpack_is_valid(const void *buf, size_t len)
{
	const uint8_t *p = buf;
	uint64_t remaining[MSGPACK_DEPTH_MAX + 1] = {1}; ///< objects by depth
	int depth = 0;

	while (depth >= 0) {
		struct object_header h;

		if (remaining[depth] == 0) {
			depth--;
			continue;
		}
		if (len == 0)
			return false;
		h = header_read(p, len);
		if (h.bytes == 0 || h.bytes > len || h.children > len - h.bytes)
			return false;
		remaining[depth]--;
		p += h.bytes;
		len -= h.bytes;
		if (h.children == 0)
			continue;
		if (depth == MSGPACK_DEPTH_MAX)
			return false;
		remaining[++depth] = h.children;
	}
	return len == 0;
}
