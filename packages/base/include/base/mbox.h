// Mailbox: a bounded multi-producer single-consumer queue of pointers between
// threads, with an eventfd that the consumer can poll.
#pragma once

#include <stdbool.h>

#include "base/err.h"

struct mbox;

/// Create a mailbox.
///
/// @param cap  entries, a power of two of at least 4; one stays unused
/// @return mailbox, NULL when out of memory or descriptors
struct mbox *mbox_new(unsigned int cap);

/// Free a mailbox. Entries still in it are not freed.
///
/// @param m  mailbox or NULL
void mbox_free(struct mbox *m);

/// Append an entry and wake the consumer. Never blocks.
///
/// @param p  entry, not NULL
/// @return ERR_OK, or ERR_FULL: the caller still owns the entry
enum err mbox_put(struct mbox *m, void *p);

/// Take the oldest entry. Consumer thread only.
///
/// @return entry, NULL when empty
void *mbox_get(struct mbox *m);

/// Descriptor that is readable while entries may be queued.
///
/// @return eventfd, owned by the mailbox
int mbox_fd(const struct mbox *m);

/// Reset the descriptor; call before emptying the mailbox with mbox_get().
/// Consumer thread only.
void mbox_clear(struct mbox *m);
