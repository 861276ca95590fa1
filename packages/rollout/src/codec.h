// Encoding of samples and batches inside messages.
#pragma once

#include "pack.h"
#include "rollout/batch.h"
#include "rollout/sample.h"

void codec_put_sample(struct pack *p, const struct sample *s);

/// @param[out] s  empty sample
void codec_get_sample(struct unpack *u, struct sample *s);

void codec_put_batch(struct pack *p, const struct batch *b);

/// @return batch, NULL for a malformed message
struct batch *codec_get_batch(struct unpack *u);
