// Mailbox on Concurrency Kit's MPSC ring and an eventfd.
#include "base/mbox.h"

#include <ck_ring.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct mbox {
	ck_ring_t ring;
	ck_ring_buffer_t *buf;
	int fd;
};

struct mbox *mbox_new(unsigned int cap)
{
	struct mbox *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->buf = calloc(cap, sizeof(*m->buf));
	if (!m->buf)
		goto err_buf;
	m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->fd < 0)
		goto err_fd;
	ck_ring_init(&m->ring, cap);
	return m;

err_fd:
	free(m->buf);
err_buf:
	free(m);
	return NULL;
}

void mbox_free(struct mbox *m)
{
	if (!m)
		return;
	close(m->fd);
	free(m->buf);
	free(m);
}

enum err mbox_put(struct mbox *m, void *p)
{
	uint64_t one = 1;

	if (!ck_ring_enqueue_mpsc(&m->ring, m->buf, p))
		return ERR_FULL;
	if (write(m->fd, &one, sizeof(one)) < 0) {
		/* The counter is at its maximum: the consumer is already woken. */
	}
	return ERR_OK;
}

void *mbox_get(struct mbox *m)
{
	void *p;

	return ck_ring_dequeue_mpsc(&m->ring, m->buf, &p) ? p : NULL;
}

int mbox_fd(const struct mbox *m)
{
	return m->fd;
}

void mbox_clear(struct mbox *m)
{
	uint64_t n;

	if (read(m->fd, &n, sizeof(n)) < 0) {
		/* Nothing was pending. */
	}
}
