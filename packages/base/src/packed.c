// Validates msgpack by walking the headers of its objects, without decoding them.
#include "base/packed.h"

#include <stdint.h>

struct head {
	size_t bytes; ///< header and the string, binary or number after it
	uint64_t children; ///< elements that follow
};

/// Big-endian number of the n bytes after the first; bytes past the end are left out.
static uint64_t number(const uint8_t *p, size_t left, size_t n)
{
	uint64_t v = 0;

	for (size_t i = 1; i <= n && i < left; i++)
		v = v << 8 | p[i];
	return v;
}

static struct head head_sized(const uint8_t *p, size_t left, size_t width,
			      size_t more)
{
	return (struct head){1 + width + more + number(p, left, width), 0};
}

static struct head head_many(const uint8_t *p, size_t left, size_t width,
			     uint64_t each)
{
	return (struct head){1 + width, each * number(p, left, width)};
}

/// Header of an object whose first byte is 0xc0 to 0xdf.
static struct head head_long(const uint8_t *p, size_t left)
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
		return (struct head){0, 0};
	case 0xc4: /* bin */
	case 0xc5:
	case 0xc6:
		return head_sized(p, left, (size_t)1 << (*p - 0xc4), 0);
	case 0xc7: /* ext: one more byte, its type */
	case 0xc8:
	case 0xc9:
		return head_sized(p, left, (size_t)1 << (*p - 0xc7), 1);
	case 0xd9: /* str */
	case 0xda:
	case 0xdb:
		return head_sized(p, left, (size_t)1 << (*p - 0xd9), 0);
	case 0xdc: /* array */
	case 0xdd:
		return head_many(p, left, (size_t)2 << (*p - 0xdc), 1);
	case 0xde: /* map */
	case 0xdf:
		return head_many(p, left, (size_t)2 << (*p - 0xde), 2);
	default:
		return (struct head){1u + fixed[*p - 0xc0], 0};
	}
}

static struct head head_of(const uint8_t *p, size_t left)
{
	if (*p < 0x80 || *p >= 0xe0)
		return (struct head){1, 0};
	if (*p < 0x90)
		return (struct head){1, 2u * (*p & 0x0f)};
	if (*p < 0xa0)
		return (struct head){1, *p & 0x0f};
	if (*p < 0xc0)
		return (struct head){1u + (*p & 0x1f), 0};
	return head_long(p, left);
}

bool packed_ok(const void *buf, size_t len)
{
	const uint8_t *p = buf;
	uint64_t todo[PACKED_DEPTH + 1] = {
		1}; ///< objects still to read at each depth
	int depth = 0;

	while (depth >= 0) {
		struct head h;

		if (todo[depth] == 0) {
			depth--;
			continue;
		}
		if (len == 0)
			return false;
		h = head_of(p, len);
		if (h.bytes == 0 || h.bytes > len || h.children > len - h.bytes)
			return false;
		todo[depth]--;
		p += h.bytes;
		len -= h.bytes;
		if (h.children == 0)
			continue;
		if (depth == PACKED_DEPTH)
			return false;
		todo[++depth] = h.children;
	}
	return len == 0;
}
