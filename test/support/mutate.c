// Mutates corpus entries for decoder tests.
#include "support/mutate.h"

#include <stdlib.h>
#include <string.h>

enum {
	MUTATIONS_MAX = 4,
	PIECE_MAX = 24, ///< bytes removed, inserted or duplicated at once
};

/* Bytes that decoders treat specially. */
static const unsigned char special_bytes[] = {
	0x00, 0x01, 0x7f, 0x80, 0xff, '\n', '\r', ':', ' ',  '"',  '{',	 '}',
	'[',  ']',  ',',  '-',	'0',  '9',  '=',  'e', 0x90, 0xc0, 0xcf, 0xdf,
};

static char random_byte(struct rng *rng)
{
	if (rng_below(rng, 2))
		return (char)
			special_bytes[rng_below(rng, sizeof(special_bytes))];
	return (char)rng_next(rng);
}

static size_t piece_len(struct rng *rng, size_t max_len)
{
	size_t n = 1 + rng_below(rng, PIECE_MAX);

	return n < max_len ? n : max_len;
}

/* Insert n <= PIECE_MAX bytes; the buffer has space. */
static size_t insert_bytes(char *buf, size_t len, size_t pos, const char *data,
			   size_t n)
{
	char piece[PIECE_MAX];

	memcpy(piece, data, n);
	memmove(buf + pos + n, buf + pos, len - pos);
	memcpy(buf + pos, piece, n);
	return len + n;
}

static size_t mutate_once(char *buf, size_t len,
			  const struct mutate_bytes *other, struct rng *rng)
{
	size_t pos = len ? rng_below(rng, len) : 0;
	char byte = random_byte(rng);
	size_t n, from;

	if (!len)
		return insert_bytes(buf, len, 0, &byte, 1);
	switch (rng_below(rng, 7)) {
	case 0:
	case 1:
		buf[pos] = byte;
		return len;
	case 2:
		buf[pos] = (char)(buf[pos] ^ 1 << rng_below(rng, 8));
		return len;
	case 3:
		return insert_bytes(buf, len, pos, &byte, 1);
	case 4:
		n = piece_len(rng, len - pos);
		memmove(buf + pos, buf + pos + n, len - pos - n);
		return len - n;
	case 5:
		if (rng_below(rng, 4) == 0)
			return pos;
		n = piece_len(rng, len - pos);
		return insert_bytes(buf, len, pos, buf + pos, n);
	default:
		n = piece_len(rng, other->len);
		from = rng_below(rng, other->len - n + 1);
		return insert_bytes(buf, len, pos, other->data + from, n);
	}
}

char *mutate(const struct mutate_bytes *corpus, size_t n, size_t entry,
	     struct rng *rng, size_t *len)
{
	size_t mutations = 1 + rng_below(rng, MUTATIONS_MAX);
	char *buf = malloc(corpus[entry].len + MUTATIONS_MAX * PIECE_MAX);
	char *out;

	*len = corpus[entry].len;
	memcpy(buf, corpus[entry].data, *len);
	while (mutations--)
		*len = mutate_once(buf, *len, &corpus[rng_below(rng, n)], rng);
	out = malloc(*len + !*len);
	memcpy(out, buf, *len);
	free(buf);
	return out;
}
