// libcurl skips what follows the digits of a chunk's size up to the end of the line, and
// takes a line feed alone for that end: a second answer's lines pass as framing.
#include "chunk_check.h"

enum {
	SIZE_MAX_DIGITS = 15, ///< fit into the type of a size
};

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

static bool to(struct chunk_check *c, enum chunk_state state)
{
	c->state = state;
	return true;
}

static bool feed_size(struct chunk_check *c, char b)
{
	int digit = hex_digit(b);

	if (digit >= 0) {
		c->left = c->left * 16 + (uint64_t)digit;
		return ++c->digits <= SIZE_MAX_DIGITS;
	}
	if (!c->digits)
		return false;
	if (b == ';' || b == ' ' || b == '\t')
		return to(c, CHUNK_EXTENSION);
	return b == '\r' && to(c, CHUNK_SIZE_LF);
}

/* A status line has a slash; the values of extensions that are in use have none. */
static bool feed_extension(struct chunk_check *c, char b)
{
	if (b == '\r')
		return to(c, CHUNK_SIZE_LF);
	return b != '\n' && b != '/';
}

static bool feed_byte(struct chunk_check *c, char b)
{
	switch (c->state) {
	case CHUNK_SIZE:
		return feed_size(c, b);
	case CHUNK_EXTENSION:
		return feed_extension(c, b);
	case CHUNK_SIZE_LF:
		return b == '\n' &&
		       to(c, c->left ? CHUNK_DATA : CHUNK_TRAILER_START);
	case CHUNK_DATA_CR:
		return b == '\r' && to(c, CHUNK_DATA_LF);
	case CHUNK_DATA_LF:
		c->digits = 0;
		return b == '\n' && to(c, CHUNK_SIZE);
	case CHUNK_TRAILER_START:
		return to(c, b == '\r' ? CHUNK_END_LF : CHUNK_TRAILER);
	case CHUNK_TRAILER:
		return b != '\r' || to(c, CHUNK_TRAILER_LF);
	case CHUNK_TRAILER_LF:
		return b == '\n' && to(c, CHUNK_TRAILER_START);
	case CHUNK_END_LF:
		return b == '\n' && to(c, CHUNK_DONE);
	case CHUNK_DATA:
	case CHUNK_DONE:
		break;
	}
	return false;
}

bool chunk_check_feed(struct chunk_check *c, const char *data, size_t len,
		      size_t *used)
{
	size_t i = 0;

	while (i < len && c->state != CHUNK_DONE) {
		if (c->state == CHUNK_DATA) {
			size_t n =
				len - i < c->left ? len - i : (size_t)c->left;

			i += n;
			c->left -= n;
			if (!c->left)
				c->state = CHUNK_DATA_CR;
		} else if (!feed_byte(c, data[i++])) {
			return false;
		}
	}
	*used = i;
	return true;
}
