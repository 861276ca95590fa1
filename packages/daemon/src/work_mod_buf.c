// Growing byte buffer with a maximum length.
#include <stdlib.h>
#include <string.h>

#include "work_mod_int.h"

enum {
	BUF_MIN_BYTES = 4096, ///< first allocation
};

enum err work_buf_add(struct work_buf *b, const void *data, size_t len,
		      size_t max)
{
	size_t cap = b->cap ? b->cap : BUF_MIN_BYTES;
	char *grown;

	if (len > max || b->len > max - len)
		return ERR_TOO_LARGE;
	while (cap < b->len + len)
		cap *= 2;
	if (cap != b->cap) {
		grown = realloc(b->data, cap);
		if (!grown)
			return ERR_NOMEM;
		b->data = grown;
		b->cap = cap;
	}
	if (len > 0)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	return ERR_OK;
}

void work_buf_free(struct work_buf *b)
{
	free(b->data);
	*b = (struct work_buf){0};
}
