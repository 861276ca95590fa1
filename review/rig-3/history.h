// Owner keys of batches that ended long ago, as the system leaves them in the store.
#pragma once

#include <stdbool.h>

#include "rig.h"

/// Start of a request for a page of owner keys.
#define OWNER_LIST "GET /catkinpath/kv-range?prefix=catkin/run/"

/// Put so many owner keys of completed batches before those that the store has.
void history_init(struct rig *r, int count);

int history_count(void);

/// Answer a request for a page of owner keys: at most 500 items, after 4 ms.
///
/// @param request  its first line, at least
/// @return false if the connection is gone
bool history_answer(int fd, const char *request);
