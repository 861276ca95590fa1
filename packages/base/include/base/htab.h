// Handle table of fixed capacity. Entries are reused; handles of deleted entries
// are detected as stale.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Index and generation of an entry; 0 is never a valid handle.
typedef uint32_t htab_handle;

struct htab;

/// Create a table.
///
/// @param cap   entries, 1 to 65535
/// @param size  bytes of an entry
/// @return table, NULL when out of memory
struct htab *htab_new(size_t cap, size_t size);

/// Free a table and its entries' memory.
///
/// @param t  table or NULL
void htab_free(struct htab *t);

/// Add a zeroed entry.
///
/// @param[out] h  its handle
/// @return entry, NULL when full
void *htab_add(struct htab *t, htab_handle *h);

/// Entry of a handle.
///
/// @return entry, NULL for a stale or unknown handle
void *htab_get(const struct htab *t, htab_handle h);

/// Delete an entry; its handle becomes stale.
///
/// @return false for a stale handle
bool htab_del(struct htab *t, htab_handle h);

/// Iterate over the entries in use.
///
/// @param[in,out] iter  position, 0 to start
/// @param[out] h        handle of the entry, may be NULL
/// @return next entry, NULL at the end
void *htab_next(const struct htab *t, size_t *iter, htab_handle *h);

/// Entries in use.
size_t htab_count(const struct htab *t);
