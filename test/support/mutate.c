// Mutates corpus entries for decoder tests.
#include "support/mutate.h"

#include <stdlib.h>
#include <string.h>

enum {
	DAMAGES_MAX = 4,
	PIECE_MAX = 24, ///< bytes removed, inserted or duplicated at once
};

/* Bytes that decoders treat specially. */
static const unsigned char special[] = {
	0x00, 0x01, 0x7f, 0x80, 0xff, '\n', '\r', ':', ' ',  '"',  '{',	 '}',
	'[',  ']',  ',',  '-',	'0',  '9',  '=',  'e', 0x90, 0xc0, 0xcf, 0xdf,
};

static char random_byte(struct rng *rng)
{
	if (rng_below(rng, 2))
		return (char)special[rng_below(rng, sizeof(special))];
	return (char)rng_next(rng);
}

static size_t piece_len(struct rng *rng, size_t most)
{
	size_t n = 1 + rng_below(rng, PIECE_MAX);

	return n < most ? n : most;
}

/* Insert n <= PIECE_MAX bytes; the buffer has space. */
static size_t put_in(char *buf, size_t len, size_t at, const char *data,
		     size_t n)
{
	char piece[PIECE_MAX];

	memcpy(piece, data, n);
	memmove(buf + at + n, buf + at, len - at);
	memcpy(buf + at, piece, n);
	return len + n;
}

static size_t damage(char *buf, size_t len, const struct mutate_bytes *other,
		     struct rng *rng)
{
	size_t at = len ? rng_below(rng, len) : 0;
	char byte = random_byte(rng);
	size_t n, from;

	if (!len)
		return put_in(buf, len, 0, &byte, 1);
	switch (rng_below(rng, 7)) {
	case 0:
	case 1:
		buf[at] = byte;
		return len;
	case 2:
		buf[at] = (char)(buf[at] ^ 1 << rng_below(rng, 8));
		return len;
	case 3:
		return put_in(buf, len, at, &byte, 1);
	case 4:
		n = piece_len(rng, len - at);
		memmove(buf + at, buf + at + n, len - at - n);
		return len - n;
	case 5:
		if (rng_below(rng, 4) == 0)
			return at;
		n = piece_len(rng, len - at);
		return put_in(buf, len, at, buf + at, n);
	default:
		n = piece_len(rng, other->len);
		from = rng_below(rng, other->len - n + 1);
		return put_in(buf, len, at, other->data + from, n);
	}
}

char *mutate(const struct mutate_bytes *corpus, size_t n, size_t at,
	     struct rng *rng, size_t *len)
{
	size_t damages = 1 + rng_below(rng, DAMAGES_MAX);
	char *buf = malloc(corpus[at].len + DAMAGES_MAX * PIECE_MAX);
	char *out;

	*len = corpus[at].len;
	memcpy(buf, corpus[at].data, *len);
	while (damages--)
		*len = damage(buf, *len, &corpus[rng_below(rng, n)], rng);
	out = malloc(*len + !*len);
	memcpy(out, buf, *len);
	free(buf);
	return out;
}
