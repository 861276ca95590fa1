// Reports what a full table leaves out. Call from one thread.
#pragma once

/// Report that an entry was left out because a table of fixed size is full. It is counted
/// each time and logged once for each table and key.
///
/// @param table  name of the table
/// @param key    what was left out
/// @param max    entries of the table
void table_full(const char *table, const char *key, int max);
