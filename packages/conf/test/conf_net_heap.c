// Event queue: a binary heap ordered by time.
#include "conf_net_int.h"

#include <stdarg.h>
#include <setjmp.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

static bool before(const struct event *a, const struct event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->seq < b->seq;
}

void event_push(struct net *n, struct event e)
{
	size_t i = n->n_heap++;

	assert_true(n->n_heap < NET_EVENTS_MAX);
	e.seq = n->seq++;
	while (i > 0 && before(&e, &n->heap[(i - 1) / 2])) {
		n->heap[i] = n->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	n->heap[i] = e;
}

struct event event_pop(struct net *n)
{
	struct event top = n->heap[0];
	struct event e = n->heap[--n->n_heap];
	size_t i = 0;

	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= n->n_heap)
			break;
		if (k + 1 < n->n_heap && before(&n->heap[k + 1], &n->heap[k]))
			k++;
		if (before(&e, &n->heap[k]))
			break;
		n->heap[i] = n->heap[k];
		i = k;
	}
	n->heap[i] = e;
	return top;
}
